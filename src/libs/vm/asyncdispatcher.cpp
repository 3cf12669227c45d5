#include "vm/asyncdispatcher.h"

namespace ebony::vm {

using traffic::PlacementAction;

asynckit::awaitable<PlacedJob>
AsyncDispatcher::acquire(std::unique_ptr<traffic::Job> Job) {
  const traffic::JobId Id = Job->Id_;
  const base::TimePoint Now = State_.now();
  PlacedJob Result;
  Result.Placement_ = State_.Dispatcher_.submit(Job, Now);
  if (Result.Placement_.Action_ != PlacementAction::Wait) {
    if (Result.Placement_.Action_ == PlacementAction::Send)
      State_.Dispatcher_.beginAttempt(Result.Placement_, *Job, Now);
    Result.Job_ = std::move(Job);
    co_return Result;
  }
  const auto Waiting = std::make_shared<Waiter>(State_.Context_);
  Waiters_[Id] = Waiting;
  co_await Waiting->Wakeup_.wait();
  Waiters_.erase(Id);
  State_.Metrics_.Wait_.record(State_.now() - Now);
  co_return std::move(Waiting->Result_);
}

void AsyncDispatcher::finish(const PlacedJob &Finished,
                             traffic::AttemptResult Result,
                             base::Duration Elapsed) {
  const traffic::UpstreamState &Upstream = *Finished.Placement_.Upstream_;
  const base::TimePoint Now = State_.now();
  const bool WasEjected = Upstream.isEjected(Now);
  // While this VM reaches no upstream, a failure says nothing about this one.
  if (!State_.Reachability_.reachesUpstreams() &&
      Result != traffic::AttemptResult::Answered)
    Result = traffic::AttemptResult::CallerLeft;
  State_.Dispatcher_.finishAttempt(Finished.Placement_, *Finished.Job_, Result,
                                   Elapsed, Now);
  if (!WasEjected && Upstream.isEjected(Now))
    State_.log(telemetry::EventLine("upstream-ejected")
                   .add("upstream", Upstream.Entry_.Name_.text())
                   .add("failures_in_row", Upstream.FailuresInRow_)
                   .add("for_ms", Upstream.EjectionDuration_.count() / 1000));
  poll();
}

void AsyncDispatcher::cancel(traffic::JobId Id) {
  State_.Dispatcher_.cancel(Id);
  const auto Entry = Waiters_.find(Id);
  if (Entry != Waiters_.end())
    Entry->second->Wakeup_.notify();
}

void AsyncDispatcher::poll() {
  if (State_.Dispatcher_.waitingCount() == 0)
    return;
  for (auto &[Job, Placement] : State_.Dispatcher_.poll(State_.now())) {
    const auto Entry = Waiters_.find(Job->Id_);
    if (Entry == Waiters_.end())
      continue;
    Entry->second->Result_ = {std::move(Job), std::move(Placement)};
    Entry->second->Wakeup_.notify();
  }
}

} // namespace ebony::vm
