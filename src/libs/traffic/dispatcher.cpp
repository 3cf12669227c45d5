#include "traffic/dispatcher.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Number of upstreams compared for an object. More would spread the object over
// upstreams that do not have it cached.
constexpr std::size_t MaxCandidates = 4;

// Fraction of the time left that the predicted latency may take; the rest
// allows for prediction errors and the way back to the caller.
constexpr double UsableTimeShare = 0.9;

// Fraction of the latency objective that the predicted latency may take for a
// request to be admitted while all slots are busy. Under sustained overload the
// queue grows to this limit, and each response takes that long.
constexpr double ObjectiveTimeShare = 0.9;

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

base::TimePoint queueSortTime(const Job &Request) {
  return Request.ObjectiveDeadline_ + PriorityStep * Request.Priority_;
}

} // namespace

Dispatcher::Dispatcher(UpstreamTable &Table, PlacementOrder Order,
                       ColdUpstreamLimiter &ColdLimiter,
                       DispatcherSettings Settings, base::RandomEngine Random)
    : Table_(Table), Order_(std::move(Order)), ColdLimiter_(ColdLimiter),
      Settings_(Settings), Random_(Random) {}

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

void Dispatcher::cancel(JobId Id) {
  std::erase_if(Waiting_, [Id](const std::unique_ptr<Job> &Request) {
    return Request->Id_ == Id;
  });
}

void Dispatcher::beginAttempt(const Placement &Chosen, Job &Request,
                              base::TimePoint Now) {
  UpstreamState &Upstream = *Chosen.Upstream_;
  ++Upstream.InFlight_;
  if (Upstream.isCold(Now))
    Upstream.LastColdSend_ = Now;
  Request.Tried_.push_back(Upstream.Entry_.Name_);
}

void Dispatcher::finishAttempt(const Placement &Chosen, const Job &Request,
                               AttemptResult Result, base::Duration Elapsed,
                               base::TimePoint Now) {
  UpstreamState &Upstream = *Chosen.Upstream_;
  --Upstream.InFlight_;
  Health_.recordResult(Upstream, Result, Now);
  WorkTimes &Times = workTimesFor(Request);
  const bool IsObjectCached = Chosen.Rank_ == 0;
  const double Ratio =
      base::toSeconds(Elapsed) /
      std::max(base::toSeconds(Times.expected(IsObjectCached)), 0.001);
  const double Previous = Upstream.latencyFactorAt(Now);
  if (Result == AttemptResult::Answered) {
    recordLatencyFactor(Upstream, Previous, Ratio, ResponseWeight, Now);
    Times.recordResponse(IsObjectCached, Elapsed, Upstream.LatencyFactor_);
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

bool Dispatcher::canRetry(const Job &Request, base::TimePoint Now) {
  const base::Duration TimeBudget =
      scaled(Request.Deadline_ - Now, UsableTimeShare);
  for (std::size_t Rank = 0; Rank < Request.Order_.size(); ++Rank) {
    const UpstreamState &Upstream = *Request.Order_[Rank];
    if (!Upstream.IsListed_ || Upstream.Entry_.IsDraining_ ||
        Upstream.isEjected(Now) || Upstream.isCold(Now) ||
        Upstream.freeSlots() <= 0 || Request.wasTried(Upstream.Entry_.Name_))
      continue;
    if (predict(Request, Rank, Now).PredictedLatency_ <= TimeBudget)
      return true;
  }
  return false;
}

Placement Dispatcher::decide(Job &Request, base::TimePoint Now) {
  const base::Duration TimeLeft = Request.Deadline_ - Now;
  if (TimeLeft <= base::Duration::zero())
    return refuse(Request, base::Duration::zero(), "no-time-left", Now);
  // Entries may change while a request waits, so compute the order again.
  Request.Order_ = Order_.order(Table_, Request.Service_, Request.ObjectHash_,
                                Request.HomeRegions_, MaxCandidates);
  std::optional<Candidate> Best = findBest(Request, Now, false);
  if (!Best) {
    Request.Order_ = Order_.order(Table_, Request.Service_, Request.ObjectHash_,
                                  Request.HomeRegions_, SIZE_MAX);
    Best = findBest(Request, Now, false);
  }
  if (!Best)
    Best = findBest(Request, Now, true);
  if (!Best)
    return refuse(Request, TimeLeft, "no-upstream", Now);
  const base::Duration TimeBudget = scaled(TimeLeft, UsableTimeShare);
  if (Best->PredictedLatency_ > TimeBudget)
    return refuse(Request, Best->PredictedLatency_, "too-late", Now);
  if (!Request.IsAdmitted_ && !Best->HasFreeSlot_ &&
      Now + Best->PredictedLatency_ >
          Request.Arrived_ +
              scaled(Request.ObjectiveDeadline_ - Request.Arrived_,
                     ObjectiveTimeShare))
    return refuse(Request, Best->PredictedLatency_, "overload", Now);
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

std::optional<Dispatcher::Candidate> Dispatcher::findBest(const Job &Request,
                                                          base::TimePoint Now,
                                                          bool AllowEjected) {
  std::optional<Candidate> Best;
  for (std::size_t Rank = 0; Rank < Request.Order_.size(); ++Rank) {
    const UpstreamState &Upstream = *Request.Order_[Rank];
    if (Request.wasTried(Upstream.Entry_.Name_) ||
        isBlockedByColdLimit(Upstream, Now) ||
        (!AllowEjected && Upstream.isEjected(Now)))
      continue;
    Candidate Alternative = predict(Request, Rank, Now);
    if (!Best || Alternative.PredictedLatency_ < Best->PredictedLatency_)
      Best = std::move(Alternative);
  }
  return Best;
}

Dispatcher::Candidate Dispatcher::predict(const Job &Request, std::size_t Rank,
                                          base::TimePoint Now) {
  Candidate Result;
  Result.Upstream_ = Request.Order_[Rank];
  Result.Rank_ = Rank;
  const UpstreamState &Upstream = *Result.Upstream_;
  const base::Duration ProcessingTime = scaled(
      workTimesFor(Request).expected(Rank == 0), Upstream.latencyFactorAt(Now));
  const int Slots = std::max(Upstream.Entry_.Slots_, 1);
  const int Ahead = Upstream.load() + countWaitingAhead(Request, Upstream);
  Result.HasFreeSlot_ = Ahead < Slots;
  Result.PredictedLatency_ = ProcessingTime;
  if (!Result.HasFreeSlot_)
    Result.PredictedLatency_ +=
        scaled(ProcessingTime, static_cast<double>(Ahead - Slots + 1) / Slots);
  // A failure costs this attempt and another one elsewhere.
  Result.PredictedLatency_ +=
      scaled(Request.LatencyObjective_, 2 * Upstream.FailureShare_);
  // A cold upstream runs at half speed. The prediction is raised by more
  // than that, so that a warm upstream is preferred.
  if (Upstream.isCold(Now))
    Result.PredictedLatency_ += ProcessingTime * 2 + Request.LatencyObjective_;
  return Result;
}

bool Dispatcher::isBlockedByColdLimit(const UpstreamState &Upstream,
                                      base::TimePoint Now) const {
  if (!Upstream.isCold(Now) || !Rules_)
    return false;
  const ServiceSettings *Service =
      Rules_->findService(Upstream.Entry_.Service_);
  if (!Service)
    return false;
  const double FleetLimit =
      Service->ColdRatePerSecond_ * Settings_.ColdOverrun_ +
      Settings_.ColdSlack_;
  return !ColdLimiter_.allows(Upstream, FleetLimit, Now);
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
