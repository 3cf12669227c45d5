#include "traffic/dispatcher.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Upstreams of an object's order that are compared; more would spread an
// object over upstreams that do not know it.
constexpr std::size_t Compared = 4;

// Part of the time left that a foreseen answer may take; the rest covers
// errors of the forecast and the way back.
constexpr double UsableTime = 0.9;

// Part of the time until a request is due that a foreseen answer may take for
// the request to be taken in when all slots are busy. Under lasting overload
// the queue grows to this bound, and each answer takes as long.
constexpr double DuePart = 0.9;

// Weight of one answer in an upstream's smoothed slowness.
constexpr double SlownessWeight = 0.1;
// Weight of an attempt that ended without an answer. It is higher, because few
// such attempts are seen before the upstream is ejected.
constexpr double UnansweredWeight = 0.3;
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 10.0;

// A request ranks as if it were due this much earlier for each step of
// priority; bounded, so that no customer starves.
constexpr base::Duration PriorityStep = std::chrono::milliseconds(100);

base::Duration scaled(base::Duration Span, double Factor) {
  return base::fromSeconds(base::toSeconds(Span) * Factor);
}

base::TimePoint rankTime(const Job &One) {
  return One.ObjectiveDeadline_ + PriorityStep * One.Priority_;
}

} // namespace

Dispatcher::Dispatcher(UpstreamTable &Table, PlacementOrder Order,
                       ColdUpstreamLimiter &Cold, DispatcherSettings Terms,
                       base::RandomEngine Random)
    : Table_(Table), Order_(std::move(Order)), Cold_(Cold), Terms_(Terms),
      Random_(Random) {}

std::optional<Placement> Dispatcher::predictRefusal(Job &One,
                                                    base::TimePoint Now) {
  Placement Result = decide(One, Now);
  if (Result.Action_ != PlacementAction::Refuse)
    return std::nullopt;
  return Result;
}

Placement Dispatcher::submit(std::unique_ptr<Job> &One, base::TimePoint Now) {
  Placement Result = decide(*One, Now);
  if (Result.Action_ != PlacementAction::Refuse && !One->IsAdmitted_) {
    retryAdvisorFor(*One).recordDecision(false, Now);
    One->IsAdmitted_ = true;
  }
  if (Result.Action_ == PlacementAction::Wait) {
    const auto Place = std::upper_bound(
        Waiting_.begin(), Waiting_.end(), One,
        [](const std::unique_ptr<Job> &A, const std::unique_ptr<Job> &B) {
          return rankTime(*A) < rankTime(*B);
        });
    Waiting_.insert(Place, std::move(One));
  }
  return Result;
}

std::vector<std::pair<std::unique_ptr<Job>, Placement>>
Dispatcher::poll(base::TimePoint Now) {
  std::vector<std::pair<std::unique_ptr<Job>, Placement>> Result;
  for (std::size_t I = 0; I < Waiting_.size();) {
    Placement Found = decide(*Waiting_[I], Now);
    if (Found.Action_ == PlacementAction::Wait) {
      ++I;
      continue;
    }
    // The slot is taken here, so that the next in the queue does not see it.
    if (Found.Action_ == PlacementAction::Send)
      beginAttempt(Found, *Waiting_[I], Now);
    Result.emplace_back(std::move(Waiting_[I]), std::move(Found));
    Waiting_.erase(Waiting_.begin() + static_cast<std::ptrdiff_t>(I));
  }
  return Result;
}

void Dispatcher::cancel(JobId Id) {
  std::erase_if(Waiting_, [Id](const std::unique_ptr<Job> &One) {
    return One->Id_ == Id;
  });
}

void Dispatcher::beginAttempt(const Placement &Chosen, Job &One,
                              base::TimePoint Now) {
  UpstreamState &Upstream = *Chosen.Upstream_;
  ++Upstream.InFlight_;
  if (Upstream.isCold(Now))
    Upstream.LastColdSend_ = Now;
  One.Tried_.push_back(Upstream.Entry_.Name_);
}

void Dispatcher::finishAttempt(const Placement &Chosen, const Job &One,
                               AttemptResult Result, base::Duration Taken,
                               base::TimePoint Now) {
  UpstreamState &Upstream = *Chosen.Upstream_;
  --Upstream.InFlight_;
  Outliers_.recordResult(Upstream, Result, Now);
  ProcessingTimes &Times = processingTimesFor(One);
  const bool KnowsObject = Chosen.Rank_ == 0;
  const double Ratio =
      base::toSeconds(Taken) /
      std::max(base::toSeconds(Times.expected(KnowsObject)), 0.001);
  const double Known = Upstream.latencyFactorAt(Now);
  if (Result == AttemptResult::Answered) {
    recordLatencyFactor(Upstream, Known, Ratio, SlownessWeight, Now);
    Times.learn(KnowsObject, Taken, Upstream.LatencyFactor_);
    return;
  }
  // The answer would have taken at least as long, so this can only raise it.
  const bool IsLowerBound = Result == AttemptResult::Failed ||
                            Result == AttemptResult::ConnectionLost ||
                            Result == AttemptResult::TimedOut;
  if (IsLowerBound && Ratio > Known)
    recordLatencyFactor(Upstream, Known, Ratio, UnansweredWeight, Now);
}

void Dispatcher::recordLatencyFactor(UpstreamState &Upstream, double Known,
                                     double Ratio, double Weight,
                                     base::TimePoint Now) {
  Upstream.LatencyFactor_ = std::clamp(Known * (1 - Weight) + Ratio * Weight,
                                       LeastSlowness, MostSlowness);
  Upstream.LatencyFactorAt_ = Now;
}

bool Dispatcher::canRetry(const Job &One, base::TimePoint Now) {
  const base::Duration Usable = scaled(One.Deadline_ - Now, UsableTime);
  for (std::size_t Rank = 0; Rank < One.Order_.size(); ++Rank) {
    const UpstreamState &Each = *One.Order_[Rank];
    if (!Each.IsListed_ || Each.Entry_.IsDraining_ || Each.isEjected(Now) ||
        Each.isCold(Now) || Each.freeSlots() <= 0 ||
        One.wasTried(Each.Entry_.Name_))
      continue;
    if (predict(One, Rank, Now).PredictedLatency_ <= Usable)
      return true;
  }
  return false;
}

Placement Dispatcher::decide(Job &One, base::TimePoint Now) {
  const base::Duration Left = One.Deadline_ - Now;
  if (Left <= base::Duration::zero())
    return refuse(One, base::Duration::zero(), "no-time-left", Now);
  // Entries change while a request waits, so the order is made each time.
  One.Order_ = Order_.order(Table_, One.Service_, One.ObjectHash_,
                            One.HomeRegions_, Compared);
  std::optional<Candidate> Best = best(One, Now, false);
  if (!Best) {
    One.Order_ = Order_.order(Table_, One.Service_, One.ObjectHash_,
                              One.HomeRegions_, SIZE_MAX);
    Best = best(One, Now, false);
  }
  if (!Best)
    Best = best(One, Now, true);
  if (!Best)
    return refuse(One, Left, "no-upstream", Now);
  const base::Duration Usable = scaled(Left, UsableTime);
  if (Best->PredictedLatency_ > Usable)
    return refuse(One, Best->PredictedLatency_, "too-late", Now);
  if (!One.IsAdmitted_ && !Best->IsFree_ &&
      Now + Best->PredictedLatency_ >
          One.Arrived_ + scaled(One.ObjectiveDeadline_ - One.Arrived_, DuePart))
    return refuse(One, Best->PredictedLatency_, "overload", Now);
  Placement Result;
  Result.PredictedLatency_ = Best->PredictedLatency_;
  Result.Rank_ = Best->Rank_;
  if (!Best->IsFree_) {
    Result.Action_ = PlacementAction::Wait;
    Result.Reason_ = "no-slot";
    return Result;
  }
  Result.Action_ = PlacementAction::Send;
  Result.Upstream_ = Best->Upstream_;
  Result.Reason_ = "earliest-answer";
  return Result;
}

std::optional<Dispatcher::Candidate>
Dispatcher::best(const Job &One, base::TimePoint Now, bool AllowEjected) {
  std::optional<Candidate> Best;
  for (std::size_t Rank = 0; Rank < One.Order_.size(); ++Rank) {
    const UpstreamState &Upstream = *One.Order_[Rank];
    if (One.wasTried(Upstream.Entry_.Name_) ||
        isBlockedByColdLimit(Upstream, Now) ||
        (!AllowEjected && Upstream.isEjected(Now)))
      continue;
    Candidate Next = predict(One, Rank, Now);
    if (!Best || Next.PredictedLatency_ < Best->PredictedLatency_)
      Best = std::move(Next);
  }
  return Best;
}

Dispatcher::Candidate Dispatcher::predict(const Job &One, std::size_t Rank,
                                          base::TimePoint Now) {
  Candidate Result;
  Result.Upstream_ = One.Order_[Rank];
  Result.Rank_ = Rank;
  const UpstreamState &Upstream = *Result.Upstream_;
  const base::Duration Work =
      scaled(processingTimesFor(One).expected(Rank == 0),
             Upstream.latencyFactorAt(Now));
  const int Slots = std::max(Upstream.Entry_.Slots_, 1);
  const int Ahead = Upstream.load() + countWaitingAhead(One, Upstream);
  Result.IsFree_ = Ahead < Slots;
  Result.PredictedLatency_ = Work;
  if (!Result.IsFree_)
    Result.PredictedLatency_ +=
        scaled(Work, static_cast<double>(Ahead - Slots + 1) / Slots);
  // A failure costs the attempt and one more elsewhere.
  Result.PredictedLatency_ +=
      scaled(One.LatencyObjective_, 2 * Upstream.FailureShare_);
  // A cold upstream works at half its speed.
  if (Upstream.isCold(Now))
    Result.PredictedLatency_ += Work * 2 + One.LatencyObjective_;
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
  const double Bound =
      Service->ColdRatePerSecond_ * Terms_.ColdOverrun_ + Terms_.ColdSlack_;
  return !Cold_.allows(Upstream, Bound, Now);
}

// Requests that rank before this one and prefer the same upstream.
int Dispatcher::countWaitingAhead(const Job &One,
                                  const UpstreamState &Upstream) const {
  int Count = 0;
  for (const std::unique_ptr<Job> &Other : Waiting_) {
    if (!Other || Other->Id_ == One.Id_)
      break;
    if (rankTime(*Other) > rankTime(One))
      break;
    if (!Other->Order_.empty() && Other->Order_.front().get() == &Upstream)
      ++Count;
  }
  return Count;
}

ProcessingTimes &Dispatcher::processingTimesFor(const Job &One) {
  return Times_
      .try_emplace({One.Route_, One.Service_},
                   ProcessingTimes(One.LatencyObjective_))
      .first->second;
}

Placement Dispatcher::refuse(const Job &One, base::Duration Foreseen,
                             const char *Reason, base::TimePoint Now) {
  Placement Result;
  Result.Action_ = PlacementAction::Refuse;
  Result.PredictedLatency_ = Foreseen;
  Result.Reason_ = Reason;
  RetryAfterAdvisor &Advice = retryAdvisorFor(One);
  if (!One.IsAdmitted_)
    Advice.recordDecision(true, Now);
  // The surplus over the objective has to drain first.
  Result.RetryAfter_ = Advice.computeRetryAfter(
      Foreseen - scaled(One.LatencyObjective_, 0.5), One.Deadline_ - Now, Now);
  return Result;
}

RetryAfterAdvisor &Dispatcher::retryAdvisorFor(const Job &One) {
  const auto Entry = Advice_.find(One.Service_);
  if (Entry != Advice_.end())
    return Entry->second;
  return Advice_
      .emplace(One.Service_, RetryAfterAdvisor(base::RandomEngine(Random_())))
      .first->second;
}

} // namespace ebony::traffic
