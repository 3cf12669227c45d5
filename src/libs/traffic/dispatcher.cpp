#include "traffic/dispatcher.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

// Number of upstreams compared for an object.
constexpr std::size_t MaxCandidates = 4;

// Fraction of the time left that the predicted latency may take; the rest
// allows for prediction errors and the way back to the caller.
constexpr double UsableTimeShare = 0.9;

// The same of the time until the process ends, for a request that must not be
// repeated: its caller would not know whether it was executed. Requests take up
// to three times as long as usual.
constexpr double UsableStopTimeShare = 1.0 / 3;

// Retry-After of a request that is refused because the process ends: another VM
// serves it.
constexpr base::Duration StoppingRetryAfter = std::chrono::milliseconds(50);
constexpr const char *StoppingReason = "stopping";

// Fraction of the latency objective that the predicted latency may take for a
// request to be admitted while all slots are busy. Under sustained overload the
// queue grows to this limit, and each response takes that long.
constexpr double ObjectiveTimeShare = 0.9;

// Price of a candidate's extra slot time, as a fraction of the latency
// objective, up to which it is used in place of a refusal.
constexpr double MaxSlotCostShare = 0.8;

// Weight of one response in an upstream's smoothed latency factor.
constexpr double ResponseWeight = 0.1;
// Weight of an attempt without a response. It is higher because only a few such
// attempts are made before the upstream is ejected.
constexpr double NoResponseWeight = 0.3;
constexpr double MinLatencyFactor = 0.5;
constexpr double MaxLatencyFactor = 10.0;

// A request is queued as if its objective ended this much later for each
// priority level below the most urgent, 0. The shift is bounded, so that no
// customer starves.
constexpr base::Duration PriorityStep = std::chrono::milliseconds(100);

base::Duration scaled(base::Duration Span, double Factor) {
  return base::fromSeconds(base::toSeconds(Span) * Factor);
}

/// Identifies an object of a route at one run of an upstream.
std::uint64_t cacheKey(const Job &Request, const UpstreamState &Upstream) {
  const std::uint64_t ObjectKey =
      base::mixBits(Request.ObjectHash_ ^ base::stableHash(Request.Route_));
  const auto Started =
      static_cast<std::uint64_t>(Upstream.Entry_.StartedUnixMs_);
  return base::mixBits(ObjectKey ^ Upstream.NameHash_ ^ base::mixBits(Started));
}

base::TimePoint queueSortTime(const Job &Request) {
  return Request.ObjectiveDeadline_ + PriorityStep * Request.Priority_;
}

} // namespace

Dispatcher::Dispatcher(UpstreamTable &Table, PlacementOrder Order,
                       ColdUpstreamLimiter &ColdLimiter,
                       UpstreamRateLimiter &RateLimiter,
                       DispatcherSettings Settings, base::RandomEngine Random)
    : Table_(Table), Order_(std::move(Order)), ColdLimiter_(ColdLimiter),
      RateLimiter_(RateLimiter),
      Gate_(ColdLimiter, RateLimiter, Settings.Cold_), Random_(Random) {}

std::optional<Placement> Dispatcher::predictRefusal(Job &Request,
                                                    base::TimePoint Now) {
  Placement Result = decide(Request, Now);
  if (Result.Action_ != PlacementAction::Refuse)
    return std::nullopt;
  return Result;
}

Placement Dispatcher::submit(std::unique_ptr<Job> &Request,
                             base::TimePoint Now) {
  Placement Result = decide(*Request, Now);
  if (Result.Action_ != PlacementAction::Refuse && !Request->IsAdmitted_) {
    returnAdviceFor(*Request).recordDecision(false, Now);
    Request->IsAdmitted_ = true;
  }
  if (Result.Action_ == PlacementAction::Wait) {
    const auto Position = std::upper_bound(
        Waiting_.begin(), Waiting_.end(), Request,
        [](const std::unique_ptr<Job> &A, const std::unique_ptr<Job> &B) {
          return queueSortTime(*A) < queueSortTime(*B);
        });
    Waiting_.insert(Position, std::move(Request));
  }
  return Result;
}

std::vector<std::pair<std::unique_ptr<Job>, Placement>>
Dispatcher::poll(base::TimePoint Now) {
  std::vector<std::pair<std::unique_ptr<Job>, Placement>> Result;
  for (std::size_t I = 0; I < Waiting_.size();) {
    Placement Decision = decide(*Waiting_[I], Now);
    if (Decision.Action_ == PlacementAction::Wait) {
      ++I;
      continue;
    }
    // Occupy the slot now so that the next request does not see it as free.
    if (Decision.Action_ == PlacementAction::Send)
      beginAttempt(Decision, *Waiting_[I], Now);
    Result.emplace_back(std::move(Waiting_[I]), std::move(Decision));
    Waiting_.erase(Waiting_.begin() + static_cast<std::ptrdiff_t>(I));
  }
  return Result;
}

void Dispatcher::balanceRegions(base::TimePoint Now) {
  for (const auto &[Service, Cache] : Caches_)
    Order_.balance(Table_, Service, Now);
}

void Dispatcher::cancel(JobId Id) {
  std::erase_if(Waiting_, [Id](const std::unique_ptr<Job> &Request) {
    return Request->Id_ == Id;
  });
}

void Dispatcher::beginAttempt(const Placement &Chosen, Job &Request,
                              base::TimePoint Now) {
  UpstreamState &Upstream = *Chosen.Upstream_;
  ++Upstream.InFlight_;
  RateLimiter_.recordSend(Upstream, Now);
  ColdLimiter_.recordSend(Upstream, Now);
  Request.Tried_.push_back(Upstream.Entry_.Name_);
}

void Dispatcher::finishAttempt(const Placement &Chosen, const Job &Request,
                               AttemptResult Result, base::Duration Elapsed,
                               base::TimePoint Now) {
  UpstreamState &Upstream = *Chosen.Upstream_;
  --Upstream.InFlight_;
  Health_.recordResult(Upstream, Result, Now);
  WorkTimes &Times = workTimesFor(Request);
  const double Ratio =
      base::toSeconds(Elapsed) /
      std::max(
          base::toSeconds(expectedTime(Request, Upstream, Chosen.Rank_, Now)),
          0.001);
  const double Previous = Upstream.latencyFactorAt(Now);
  if (Result == AttemptResult::Answered) {
    recordLatencyFactor(Upstream, Previous, Ratio, ResponseWeight, Now);
    const bool WasCached = Times.wasCached(Elapsed, Upstream.LatencyFactor_);
    Times.recordResponse(WasCached, Elapsed, Upstream.LatencyFactor_);
    cacheFor(Request).record(cacheKey(Request, Upstream), Chosen.Rank_ == 0,
                             WasCached, Now);
    return;
  }
  // A response would have taken at least this long, so the sample may only
  // raise the factor.
  const bool IsLowerBound = Result == AttemptResult::Failed ||
                            Result == AttemptResult::ConnectionLost ||
                            Result == AttemptResult::TimedOut;
  if (IsLowerBound && Ratio > Previous)
    recordLatencyFactor(Upstream, Previous, Ratio, NoResponseWeight, Now);
}

void Dispatcher::recordLatencyFactor(UpstreamState &Upstream, double Previous,
                                     double Ratio, double Weight,
                                     base::TimePoint Now) {
  Upstream.LatencyFactor_ = std::clamp(Previous * (1 - Weight) + Ratio * Weight,
                                       MinLatencyFactor, MaxLatencyFactor);
  Upstream.LatencyFactorUpdatedAt_ = Now;
}

void Dispatcher::recordNamedLimit(UpstreamState &Upstream,
                                  std::optional<double> RatePerSecond,
                                  base::TimePoint Sent, base::TimePoint Now) {
  Upstream.Limit_ = Upstream.Limit_.afterResponse(RatePerSecond, Sent, Now);
}

bool Dispatcher::canRetry(const Job &Request, base::TimePoint Now) {
  const base::Duration TimeBudget =
      scaled(std::min(Request.Deadline_, StopDeadline_) - Now, UsableTimeShare);
  for (std::size_t Rank = 0; Rank < Request.Order_.size(); ++Rank) {
    const UpstreamState &Upstream = *Request.Order_[Rank];
    if (Request.wasTried(Upstream.Entry_.Name_) || Upstream.isCold(Now) ||
        Upstream.freeSlots() <= 0 ||
        !Gate_.permission(Upstream, SendStage::Place, Now).isNow())
      continue;
    if (predict(Request, Rank, 0, SendStage::Place, Now).PredictedLatency_ <=
        TimeBudget)
      return true;
  }
  return false;
}

Placement Dispatcher::decide(Job &Request, base::TimePoint Now) {
  const base::Duration TimeLeft = Request.Deadline_ - Now;
  if (TimeLeft <= base::Duration::zero())
    return refuse(Request, base::Duration::zero(), "no-time-left", Now);
  if (Now >= StopDeadline_)
    return refuse(Request, base::Duration::zero(), StoppingReason, Now);
  // Entries may change while a request waits, so compute the order again.
  Request.Order_ = Order_.order(Table_, Request.Service_, Request.ObjectHash_,
                                Request.HomeRegions_, MaxCandidates);
  const double Price =
      SlotPrice::at(Order_
                        .usage(Table_, Request.Service_, Request.ObjectHash_,
                               Request.HomeRegions_, Now)
                        .share());
  std::optional<Candidate> Best =
      findBest(Request, Price, Now, SendStage::Place);
  if (!Best || isHeldUp(Request, *Best, Now)) {
    Request.Order_ = Order_.order(Table_, Request.Service_, Request.ObjectHash_,
                                  Request.HomeRegions_, SIZE_MAX);
    Best = findBest(Request, Price, Now, SendStage::Place);
  }
  if (!Best)
    Best = findBest(Request, Price, Now, SendStage::PlaceAsLastResort);
  // Another VM, which the caller may reach at once, may be in touch.
  if (!Best && Gate_.isIsolated())
    return refuse(Request, base::Duration::zero(), "isolated", Now);
  if (!Best)
    return refuse(Request, TimeLeft, findUnplaceableReason(Request, Now), Now);
  if (const char *Reason = findRefusalReason(Request, *Best, Now))
    return refuse(Request, Best->PredictedLatency_,
                  Best->Bar_ == SendBar::Quiet ? "upstream-quiet" : Reason,
                  Now);
  Placement Result;
  Result.PredictedLatency_ = Best->PredictedLatency_;
  Result.Rank_ = Best->Rank_;
  if (!Best->HasFreeSlot_) {
    Result.Action_ = PlacementAction::Wait;
    Result.Reason_ = "no-slot";
    return Result;
  }
  Result.Action_ = PlacementAction::Send;
  Result.Upstream_ = Best->Upstream_;
  Result.Reason_ = "earliest-answer";
  return Result;
}

bool Dispatcher::isHeldUp(const Job &Request, const Candidate &Best,
                          base::TimePoint Now) const {
  return findRefusalReason(Request, Best, Now) &&
         std::any_of(Request.Order_.begin(), Request.Order_.end(),
                     [Now](const UpstreamPtr &Upstream) {
                       return Upstream->Limit_.rateAt(Now).has_value() ||
                              Upstream->isQuiet(Now) || Upstream->NeedsTrial_;
                     });
}

const char *Dispatcher::findUnplaceableReason(const Job &Request,
                                              base::TimePoint Now) const {
  const bool IsLimited = std::any_of(
      Request.Order_.begin(), Request.Order_.end(),
      [&](const UpstreamPtr &Upstream) {
        return !Request.wasTried(Upstream->Entry_.Name_) &&
               Gate_.permission(*Upstream, SendStage::PlaceAsLastResort, Now)
                       .Bar_ == SendBar::NamedLimit;
      });
  return IsLimited ? "upstream-limit" : "no-upstream";
}

std::optional<Dispatcher::Candidate> Dispatcher::findBest(const Job &Request,
                                                          double Price,
                                                          base::TimePoint Now,
                                                          SendStage Stage) {
  std::optional<Candidate> Best;
  std::optional<Candidate> Cheap;
  for (std::size_t Rank = 0; Rank < Request.Order_.size(); ++Rank) {
    const UpstreamState &Upstream = *Request.Order_[Rank];
    if (Request.wasTried(Upstream.Entry_.Name_) ||
        Gate_.permission(Upstream, Stage, Now).isNever())
      continue;
    Candidate Alternative = predict(Request, Rank, Price, Stage, Now);
    const bool IsTimely = !findRefusalReason(Request, Alternative, Now);
    if (Rank == 0 && IsTimely && Alternative.HasFreeSlot_ &&
        Upstream.Limit_.isTrialDue(Now))
      return Alternative;
    const base::Duration SlotCost =
        Alternative.Cost_ - Alternative.PredictedLatency_;
    if (IsTimely &&
        SlotCost <= scaled(Request.LatencyObjective_, MaxSlotCostShare) &&
        (!Cheap || Alternative.Cost_ < Cheap->Cost_))
      Cheap = Alternative;
    if (!Best || Alternative.Cost_ < Best->Cost_)
      Best = std::move(Alternative);
  }
  const bool IsBestRefused = Best && findRefusalReason(Request, *Best, Now);
  return IsBestRefused && Cheap ? Cheap : Best;
}

const char *Dispatcher::findRefusalReason(const Job &Request,
                                          const Candidate &Best,
                                          base::TimePoint Now) const {
  if (endsAfterStop(Request, Best.PredictedLatency_, Now))
    return StoppingReason;
  if (Best.PredictedLatency_ > scaled(Request.Deadline_ - Now, UsableTimeShare))
    return "too-late";
  const base::TimePoint AdmissionLimit =
      Request.Arrived_ +
      scaled(Request.ObjectiveDeadline_ - Request.Arrived_, ObjectiveTimeShare);
  if (!Request.IsAdmitted_ && !Best.HasFreeSlot_ &&
      Now + Best.PredictedLatency_ > AdmissionLimit)
    return "overload";
  return nullptr;
}

bool Dispatcher::endsAfterStop(const Job &Request, base::Duration Latency,
                               base::TimePoint Now) const {
  if (StopDeadline_ == base::TimePoint::max())
    return false;
  const double Share = Request.RetryPolicy_ == RetryPolicy::Idempotent
                           ? UsableTimeShare
                           : UsableStopTimeShare;
  return Latency > scaled(StopDeadline_ - Now, Share);
}

Dispatcher::Candidate Dispatcher::predict(const Job &Request, std::size_t Rank,
                                          double Price, SendStage Stage,
                                          base::TimePoint Now) {
  Candidate Result;
  Result.Upstream_ = Request.Order_[Rank];
  Result.Rank_ = Rank;
  const UpstreamState &Upstream = *Result.Upstream_;
  const base::Duration ProcessingTime =
      scaled(expectedTime(Request, Upstream, Rank, Now),
             Upstream.latencyFactorAt(Now));
  const int Slots = std::max(Upstream.Entry_.Slots_, 1);
  const int WaitingAhead = countWaitingAhead(Request, Upstream);
  const int Ahead = Upstream.load() + WaitingAhead;
  const SendPermission Permission =
      Gate_.permission(Upstream, Stage, Now, WaitingAhead);
  Result.Bar_ = Permission.Bar_;
  Result.HasFreeSlot_ = Ahead < Slots && Permission.isNow();
  Result.PredictedLatency_ = ProcessingTime + Permission.Wait_;
  if (Ahead >= Slots)
    Result.PredictedLatency_ +=
        scaled(ProcessingTime, static_cast<double>(Ahead - Slots + 1) / Slots);
  // A failure costs this attempt and another one elsewhere.
  Result.PredictedLatency_ +=
      scaled(Request.LatencyObjective_, 2 * Upstream.FailureShare_);
  // A cold upstream runs at half speed. The prediction is raised by more
  // than that, so that a warm upstream is preferred.
  if (Upstream.isCold(Now))
    Result.PredictedLatency_ += ProcessingTime * 2 + Request.LatencyObjective_;
  const base::Duration ExtraSlotTime =
      std::max(base::Duration::zero(),
               ProcessingTime - workTimesFor(Request).expected(true));
  Result.Cost_ = Result.PredictedLatency_ + scaled(ExtraSlotTime, Price);
  return Result;
}

// Returns the number of requests that are queued before this one and prefer
// the same upstream.
int Dispatcher::countWaitingAhead(const Job &Request,
                                  const UpstreamState &Upstream) const {
  int Count = 0;
  for (const std::unique_ptr<Job> &OtherRequest : Waiting_) {
    if (!OtherRequest || OtherRequest->Id_ == Request.Id_)
      break;
    if (queueSortTime(*OtherRequest) > queueSortTime(Request))
      break;
    if (!OtherRequest->Order_.empty() &&
        OtherRequest->Order_.front().get() == &Upstream)
      ++Count;
  }
  return Count;
}

base::Duration Dispatcher::expectedTime(const Job &Request,
                                        const UpstreamState &Upstream,
                                        std::size_t Rank, base::TimePoint Now) {
  const WorkTimes &Times = workTimesFor(Request);
  const double Cached = cacheFor(Request).probability(
      cacheKey(Request, Upstream), Rank == 0, Now);
  return scaled(Times.expected(true), Cached) +
         scaled(Times.expected(false), 1 - Cached);
}

CacheEstimator &Dispatcher::cacheFor(const Job &Request) {
  return Caches_[Request.Service_];
}

WorkTimes &Dispatcher::workTimesFor(const Job &Request) {
  return WorkTimes_
      .try_emplace({Request.Route_, Request.Service_},
                   WorkTimes(Request.LatencyObjective_))
      .first->second;
}

Placement Dispatcher::refuse(const Job &Request,
                             base::Duration PredictedLatency,
                             const char *Reason, base::TimePoint Now) {
  Placement Result;
  Result.Action_ = PlacementAction::Refuse;
  Result.PredictedLatency_ = PredictedLatency;
  Result.Reason_ = Reason;
  if (Reason == StoppingReason) {
    Result.RetryAfter_ = StoppingRetryAfter;
    return Result;
  }
  ReturnAdvice &Advice = returnAdviceFor(Request);
  if (!Request.IsAdmitted_)
    Advice.recordDecision(true, Now);
  // Before a retry, the queue has to shrink until the predicted latency is half
  // of the objective.
  Result.RetryAfter_ = Advice.computeRetryAfter(
      PredictedLatency - scaled(Request.LatencyObjective_, 0.5),
      Request.Deadline_ - Now, Now);
  return Result;
}

ReturnAdvice &Dispatcher::returnAdviceFor(const Job &Request) {
  const auto Entry = ReturnAdvice_.find(Request.Service_);
  if (Entry != ReturnAdvice_.end())
    return Entry->second;
  return ReturnAdvice_
      .emplace(Request.Service_, ReturnAdvice(base::RandomEngine(Random_())))
      .first->second;
}

} // namespace ebony::traffic
