#include "benchquota/trial.h"

#include "benchquota/fleetlayout.h"

#include <algorithm>

namespace ebony::benchquota {

namespace {

constexpr base::Duration Tick = std::chrono::milliseconds(20);
constexpr double RatesPerSecond[] = {20, 50, 50, 100, 100, 200, 400, 100};
/// Duration for which a customer's burst lasts at its rate.
constexpr double BurstSeconds = 0.5;
/// The zone that is cut off for the middle third of a trial.
constexpr std::size_t CutZone = 1;
/// Floors of all zones as a fraction of the quota, for the number of requests
/// that a zone must serve while it is cut off.
constexpr double FloorFraction = 0.05;
constexpr std::size_t MessageOverheadBytes = 40;

} // namespace

struct Trial::Customer {
  Customer(Workload Arrivals, std::unique_ptr<Scheme> Scheme, double Rate,
           double Burst, bool IsHeavy)
      : Arrivals_(Arrivals), Scheme_(std::move(Scheme)), Rate_(Rate),
        Burst_(Burst), IsHeavy_(IsHeavy), Level_(Burst) {}

  /// Takes one admission from the reference bucket, which is what an ideal
  /// central limiter would hold.
  void recordAdmission(base::TimePoint Now) {
    Level_ =
        std::min(Level_ + Rate_ * base::toSeconds(Now - RefilledAt_), Burst_);
    RefilledAt_ = Now;
    Level_ -= 1;
    LowestLevel_ = std::min(LowestLevel_, Level_);
  }

  Workload Arrivals_;
  std::unique_ptr<Scheme> Scheme_;
  double Rate_;
  double Burst_;
  bool IsHeavy_;
  double Level_;
  std::int64_t Offered_ = 0;
  std::int64_t Refused_ = 0;
  double LowestLevel_ = 0;
  base::TimePoint RefilledAt_;
};

Trial::Trial(WorkloadSettings Settings, const SchemeFactory &MakeScheme,
             std::uint64_t Seed)
    : Settings_(Settings) {
  base::RandomEngine Random(Seed);
  for (std::size_t Index = 0; Index < std::size(RatesPerSecond); ++Index) {
    const bool IsHeavy =
        Settings.HasHeavyNeighbour_ && Index + 1 == std::size(RatesPerSecond);
    const double Rate = RatesPerSecond[Index];
    const double Burst = Rate * BurstSeconds;
    const quota::QuotaLimits Limits(
        1, quota::Tokens(Rate * double(quota::TokensPerRequest)),
        quota::Tokens(Burst * double(quota::TokensPerRequest)));
    Customers_.push_back(std::make_unique<Customer>(
        Workload(Settings, Rate, Burst, IsHeavy, base::RandomEngine(Random())),
        MakeScheme(*this, Limits, Random()), Rate, Burst, IsHeavy));
  }
}

Trial::~Trial() = default;

void Trial::schedule(base::TimePoint Time, Event Action) {
  Events_.emplace(Time, std::move(Action));
}

bool Trial::isCutOff(std::size_t Vm) const {
  const base::TimePoint From =
      base::TimePoint() + Settings_.WarmUp_ + Settings_.Length_ / 3;
  return Settings_.CutsZone_ && FleetLayout::zoneOf(Vm) == CutZone &&
         Now_ >= From && Now_ < From + Settings_.Length_ / 3;
}

void Trial::send(std::size_t From, std::size_t To, std::size_t Bytes,
                 Event Deliver) {
  if (Now_ >= base::TimePoint() + Settings_.WarmUp_) {
    ++Messages_;
    Bytes_ += std::int64_t(Bytes + MessageOverheadBytes);
  }
  if (FleetLayout::zoneOf(From) != FleetLayout::zoneOf(To) &&
      (isCutOff(From) || isCutOff(To)))
    return;
  schedule(Now_ + FleetLayout::latency(From, To), std::move(Deliver));
}

void Trial::recordDecision(Customer &Customer, std::size_t Vm,
                           base::TimePoint SubmittedAt, bool Admitted,
                           base::TimePoint Now) {
  if (Admitted)
    Customer.recordAdmission(Now);
  if (Customer.IsHeavy_ || SubmittedAt < base::TimePoint() + Settings_.WarmUp_)
    return;
  const bool IsCutOff = isCutOff(Vm);
  Customer.Offered_ += IsCutOff ? 0 : 1;
  Customer.Refused_ += IsCutOff || Admitted ? 0 : 1;
  (IsCutOff ? Result_.CutOffered_ : Result_.Offered_) += 1;
  if (!Admitted)
    (IsCutOff ? Result_.CutRefused_ : Result_.Refused_) += 1;
  if (Admitted && Now > SubmittedAt) {
    ++Result_.Waited_;
    Result_.LongestWaitMs_ = std::max(
        Result_.LongestWaitMs_, base::toSeconds(Now - SubmittedAt) * 1000);
  }
}

void Trial::submitRequest(Customer &Customer, base::TimePoint Now) {
  const std::size_t Vm = Customer.Arrivals_.chooseVm(Now);
  Customer.Scheme_->submit(
      Vm, Now,
      [this, &Customer, Vm, Now](bool Admitted, base::TimePoint DecidedAt) {
        recordDecision(Customer, Vm, Now, Admitted, DecidedAt);
      });
  scheduleArrival(Customer);
}

void Trial::scheduleArrival(Customer &Customer) {
  schedule(
      Customer.Arrivals_.nextArrival(),
      [this, &Customer](base::TimePoint Now) { submitRequest(Customer, Now); });
}

void Trial::tick(base::TimePoint Now) {
  for (const auto &Customer : Customers_)
    Customer->Scheme_->tick(Now);
  schedule(Now + Tick, [this](base::TimePoint Next) { tick(Next); });
}

TrialResult Trial::run() {
  for (const auto &Customer : Customers_)
    scheduleArrival(*Customer);
  schedule(Now_, [this](base::TimePoint Now) { tick(Now); });
  const base::TimePoint End = Now_ + Settings_.WarmUp_ + Settings_.Length_;
  while (Events_.begin()->first < End) {
    const auto Next = Events_.extract(Events_.begin());
    Now_ = Next.key();
    Next.mapped()(Now_);
  }
  const double Vms = double(FleetLayout::Vms);
  const double Seconds = base::toSeconds(Settings_.Length_);
  Result_.MessagesPerSecondAndVm_ = double(Messages_) / Seconds / Vms;
  Result_.BytesPerSecondAndVm_ = double(Bytes_) / Seconds / Vms;
  for (const auto &Customer : Customers_) {
    Result_.Excess_ =
        std::max(Result_.Excess_, -Customer->LowestLevel_ / Customer->Burst_);
    if (!Customer->IsHeavy_)
      Result_.Customers_.push_back(
          {Customer->Rate_, Customer->Offered_, Customer->Refused_});
    if (Settings_.CutsZone_ && !Customer->IsHeavy_)
      Result_.CutFloor_ += Customer->Rate_ * FloorFraction /
                           double(FleetLayout::Zones) * Seconds / 3;
  }
  return Result_;
}

} // namespace ebony::benchquota
