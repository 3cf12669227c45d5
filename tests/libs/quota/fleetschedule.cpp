#include "libs/quota/fleetschedule.h"

#include <algorithm>

namespace ebony::quota::tests {

namespace {

constexpr std::size_t Zones = 2;
constexpr std::size_t VmsPerZone = 3;
constexpr std::int64_t FloorPercent = 25;
constexpr std::int64_t DriftPpm = 500;
const LoanTerms Terms(std::chrono::seconds(2), DriftPpm,
                      std::chrono::milliseconds(1));
const base::CustomerName Customer("acme");

std::pair<base::VmIdentity, base::VmIdentity>
endpoints(const AccountStatement &Statement) {
  return {Statement.from(), Statement.to()};
}

template <typename Message>
std::pair<base::VmIdentity, base::VmIdentity> endpoints(const Message &Value) {
  return {Value.route().from(), Value.route().to()};
}

} // namespace

FleetSchedule::FleetSchedule(std::uint64_t Seed)
    : Random_(Seed),
      TimeDivisor_(std::int64_t(1) << randomBelow(8)), Limits_{{1, 50'000'000,
                                                                20'000'000}},
      FleetTokens_(20e6) {
  Rows_.assign(Zones, {0, ZoneAllotment::initial(Zones, FloorPercent)});
  Vms_.resize(Zones * VmsPerZone);
  for (VmState &Vm : Vms_)
    start(Vm);
}

std::int64_t FleetSchedule::randomBelow(std::int64_t Limit) {
  return std::int64_t(Random_.below(std::uint64_t(Limit)));
}

std::size_t FleetSchedule::zoneOf(const VmState &Vm) const {
  return std::size_t(&Vm - Vms_.data()) / VmsPerZone;
}

FleetSchedule::VmState &FleetSchedule::anyVm() {
  return Vms_[std::size_t(randomBelow(std::int64_t(Vms_.size())))];
}

base::TimePoint FleetSchedule::clockOf(const VmState &Vm) const {
  const std::int64_t Drift = NowMicros_ * Vm.DriftPpm_ / 1'000'000;
  return base::TimePoint(base::Duration(Vm.OffsetMicros_ + NowMicros_ + Drift));
}

void FleetSchedule::start(VmState &Vm) {
  const std::size_t Zone = zoneOf(Vm);
  const std::string Address = std::to_string(&Vm - Vms_.data());
  Vm = VmState();
  Vm.Id_ = {base::VmAddress(Address), NextIncarnation_++,
            base::ZoneName(std::to_string(Zone))};
  Vm.OffsetMicros_ = randomBelow(1'000'000'000);
  Vm.DriftPpm_ = randomBelow(2 * DriftPpm + 1) - DriftPpm;
  if (IsTableDown_)
    return;
  Row &ZoneRow = Rows_[Zone];
  write(Zone, ZoneRow.Version_,
        ZoneRow.Allotment_.join(Vm.Id_, std::int64_t(VmsPerZone)));
  const ZoneMember *Self = ZoneRow.Allotment_.find(Vm.Id_);
  if (!Self)
    return;
  Vm.KnownRow_ = ZoneRow;
  Vm.Ledger_ = std::make_unique<QuotaLedger>(Vm.Id_, Customer, Limits_.back(),
                                             Terms, Self->drawn(), clockOf(Vm));
  Vm.Settlement_ = std::make_unique<ZoneSettlement>(Vm.Id_, Terms);
}

void FleetSchedule::write(std::size_t Zone, std::int64_t Version,
                          const ZoneAllotment &New) {
  Row &ZoneRow = Rows_[Zone];
  // The VMs ignore the answer to a write; they read the row back to learn
  // whether it took effect.
  if (!IsTableDown_ && ZoneRow.Version_ == Version && !Random_.chance(0.1))
    ZoneRow = {Version + 1, New};
}

bool FleetSchedule::isLive(const base::VmIdentity &Id) const {
  return std::any_of(Vms_.begin(), Vms_.end(), [&](const VmState &Vm) {
    return Vm.Id_ == Id && Vm.Ledger_;
  });
}

void FleetSchedule::advanceTime() {
  const std::int64_t Spans[] = {0, 50, 1'000, 50'000, 500'000, 3'000'000};
  std::int64_t Span = randomBelow(Spans[randomBelow(6)] + 1) / TimeDivisor_;
  // A lease that is too long shows when the lender reclaims its parts.
  if (const VmState &Vm = anyVm(); Vm.Ledger_ && Random_.chance(0.3))
    if (const auto ReclaimAt = Vm.Ledger_->loans().earliestReclaim())
      Span = std::max<std::int64_t>((*ReclaimAt - clockOf(Vm)).count(), 0) +
             randomBelow(3);
  NowMicros_ += Span;
}

void FleetSchedule::admitSome() {
  VmState &Vm = anyVm();
  if (!isUp(Vm))
    return;
  for (std::int64_t Left = randomBelow(25); Left > 0; --Left)
    if (Vm.Ledger_->tryAdmit(clockOf(Vm))) {
      ++Admitted_;
      FleetTokens_ -= TokensPerRequest;
    }
}

void FleetSchedule::drainAll() {
  // Tokens created by mistake show at once when every bucket is drained.
  if (Random_.chance(0.5))
    NowMicros_ += randomBelow(2'000'000);
  refillFleetTokens();
  for (VmState &Vm : Vms_)
    while (isUp(Vm) && Vm.Ledger_->tryAdmit(clockOf(Vm))) {
      ++Admitted_;
      FleetTokens_ -= TokensPerRequest;
    }
}

void FleetSchedule::transferSome() {
  VmState &From = anyVm();
  const std::vector<base::VmIdentity> Peers =
      From.KnownRow_.Allotment_.active();
  if (!isUp(From) || Peers.empty())
    return;
  const auto &To = Peers[std::size_t(randomBelow(std::int64_t(Peers.size())))];
  if (To == From.Id_)
    return;
  const QuotaShare Share(randomBelow(WholeParts / 4),
                         randomBelow(WholeParts / 4));
  InFlight_.emplace_back(From.Ledger_->transfer(
      To, Share, randomBelow(10'000'000), clockOf(From)));
}

void FleetSchedule::requestLoan() {
  VmState &From = anyVm();
  const VmState &To = anyVm();
  if (!isUp(From) || zoneOf(From) == zoneOf(To))
    return;
  const QuotaShare Share(randomBelow(WholeParts / 2),
                         randomBelow(WholeParts / 2));
  InFlight_.emplace_back(From.Ledger_->requestLoan(
      To.Id_, Share, randomBelow(10'000'000), clockOf(From)));
}

void FleetSchedule::renewLoan() {
  VmState &From = anyVm();
  if (!isUp(From) || From.Ledger_->loans().borrowedLoans().empty())
    return;
  const LoanBook::Key Loan =
      From.Ledger_->loans().borrowedLoans().begin()->first;
  if (const auto Request = From.Ledger_->requestRenewal(Loan, clockOf(From)))
    InFlight_.emplace_back(*Request);
}

void FleetSchedule::returnLoan() {
  VmState &From = anyVm();
  if (!isUp(From) || From.Ledger_->loans().borrowedLoans().empty())
    return;
  const LoanBook::Key Loan =
      From.Ledger_->loans().borrowedLoans().begin()->first;
  if (const auto Return = From.Ledger_->returnLoan(Loan, clockOf(From)))
    InFlight_.emplace_back(*Return);
}

void FleetSchedule::deliver() {
  for (std::int64_t Left = randomBelow(6); Left > 0 && !InFlight_.empty();
       --Left) {
    const auto At = InFlight_.begin() +
                    std::ptrdiff_t(randomBelow(std::int64_t(InFlight_.size())));
    const Message Delivered = *At;
    if (!Random_.chance(0.25))
      InFlight_.erase(At);
    if (Random_.chance(0.15))
      continue;
    const auto [Sender, Receiver] =
        std::visit([](const auto &M) { return endpoints(M); }, Delivered);
    if (AreZonesCut_ && Sender.zone() != Receiver.zone())
      continue;
    for (VmState &To : Vms_)
      if (To.Id_ == Receiver && isUp(To))
        receive(To, Delivered);
  }
}

void FleetSchedule::receive(VmState &To, const Message &Received) {
  const base::TimePoint Now = clockOf(To);
  if (const auto *Grant = std::get_if<TransferGrant>(&Received)) {
    Transfers_ += To.Ledger_->accept(*Grant, Now) ? 1 : 0;
  } else if (const auto *Request = std::get_if<LoanRequest>(&Received)) {
    InFlight_.emplace_back(
        To.Ledger_->lend(*Request, {WholeParts, WholeParts}, Now));
  } else if (const auto *Loan = std::get_if<LoanGrant>(&Received)) {
    Loans_ += To.Ledger_->accept(*Loan, Now) ? 1 : 0;
  } else if (const auto *Return = std::get_if<LoanReturn>(&Received)) {
    To.Ledger_->accept(*Return, Now);
  } else if (const auto *Statement = std::get_if<AccountStatement>(&Received)) {
    To.Settlement_->accept(*Statement);
  }
}

void FleetSchedule::readRow() {
  if (IsTableDown_)
    return;
  for (VmState &Vm : Vms_)
    if (isUp(Vm) && Random_.chance(0.5))
      applyRow(Vm);
}

void FleetSchedule::applyRow(VmState &Vm) {
  const base::TimePoint Now = clockOf(Vm);
  Vm.KnownRow_ = Rows_[zoneOf(Vm)];
  if (const auto Settled =
          Vm.Settlement_->applyRow(Vm.KnownRow_.Allotment_, Now)) {
    Vm.Ledger_->applySettlement(*Settled, Now);
    ++Settlements_;
  }
  for (const ZoneMember &Member : Vm.KnownRow_.Allotment_.members())
    if (Member.claimedBy() && *Member.claimedBy() != Vm.Id_) {
      const AccountBalance Balance =
          Vm.Ledger_->closeAccount(Member.vm(), *Member.claimedBy());
      InFlight_.emplace_back(AccountStatement(Vm.Id_, *Member.claimedBy(),
                                              Member.vm(), {Balance}));
    }
}

void FleetSchedule::claimDeparted() {
  VmState &Vm = anyVm();
  if (!isUp(Vm))
    return;
  for (const base::VmIdentity &Member : Vm.KnownRow_.Allotment_.active())
    if (!isLive(Member)) {
      write(zoneOf(Vm), Vm.KnownRow_.Version_,
            Vm.KnownRow_.Allotment_.claim(Member, Vm.Id_));
      return;
    }
}

void FleetSchedule::settle() {
  VmState &Vm = anyVm();
  if (!isUp(Vm))
    return;
  if (const auto New =
          Vm.Settlement_->proposeRow(Vm.KnownRow_.Allotment_, clockOf(Vm)))
    write(zoneOf(Vm), Vm.KnownRow_.Version_, *New);
}

void FleetSchedule::stopOrCrash() {
  VmState &Vm = anyVm();
  if (Vm.Ledger_ && Random_.chance(0.7))
    return;
  const std::vector<base::VmIdentity> Peers = Vm.KnownRow_.Allotment_.active();
  if (isUp(Vm) && !Peers.empty() && Random_.chance(0.5))
    InFlight_.emplace_back(Vm.Ledger_->transfer(
        Peers.front(), {WholeParts, WholeParts}, 1'000'000'000, clockOf(Vm)));
  if (Vm.Ledger_ && Random_.chance(0.5))
    Vm.Ledger_.reset();
  else
    start(Vm);
}

void FleetSchedule::changeLimits() {
  if (Random_.chance(0.3))
    Limits_.emplace_back(Limits_.back().revision() + 1,
                         1'000'000 + randomBelow(100'000'000),
                         1'000'000 + randomBelow(40'000'000));
  VmState &Vm = anyVm();
  if (isUp(Vm))
    Vm.Ledger_->setLimits(
        Limits_[std::size_t(randomBelow(std::int64_t(Limits_.size())))],
        clockOf(Vm));
}

void FleetSchedule::toggleFault() {
  VmState &Vm = anyVm();
  Vm.IsPaused_ = !Vm.IsPaused_ && Random_.chance(0.5);
  AreZonesCut_ = Random_.chance(0.2);
  IsTableDown_ = Random_.chance(0.2);
}

} // namespace ebony::quota::tests
