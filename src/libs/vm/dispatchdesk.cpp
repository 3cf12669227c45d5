#include "vm/dispatchdesk.h"

namespace ebony::vm {

using traffic::PlacementAction;

asynckit::awaitable<Turn>
DispatchDesk::acquire(std::unique_ptr<traffic::Job> Job) {
  const traffic::JobId Id = Job->Id_;
  const base::TimePoint Now = State_.now();
  Turn Result;
  Result.Placement_ = State_.Dispatcher_.submit(Job, Now);
  if (Result.Placement_.Action_ != PlacementAction::Wait) {
    if (Result.Placement_.Action_ == PlacementAction::Send)
      State_.Dispatcher_.beginAttempt(Result.Placement_, *Job, Now);
    Result.Job_ = std::move(Job);
    co_return Result;
  }
  const auto Own = std::make_shared<Waiter>(State_.Context_);
  Waiters_[Id] = Own;
  co_await Own->Wake_.wait();
  Waiters_.erase(Id);
  State_.Metrics_.Wait_.record(State_.now() - Now);
  co_return std::move(Own->Turn_);
}

void DispatchDesk::finish(const Turn &Done, traffic::AttemptResult Result,
                          base::Duration Taken) {
  const traffic::UpstreamState &Upstream = *Done.Placement_.Upstream_;
  const base::TimePoint Now = State_.now();
  const bool WasEjected = Upstream.isEjected(Now);
  State_.Dispatcher_.finishAttempt(Done.Placement_, *Done.Job_, Result, Taken,
                                   Now);
  if (!WasEjected && Upstream.isEjected(Now))
    State_.log(telemetry::EventLine("upstream-ejected")
                   .add("upstream", Upstream.Entry_.Name_.text())
                   .add("failures_in_row", Upstream.FailuresInRow_)
                   .add("for_ms", Upstream.EjectionDuration_.count() / 1000));
  poll();
}

void DispatchDesk::cancel(traffic::JobId Id) {
  State_.Dispatcher_.cancel(Id);
  const auto Entry = Waiters_.find(Id);
  if (Entry != Waiters_.end())
    Entry->second->Wake_.notify();
}

void DispatchDesk::poll() {
  if (State_.Dispatcher_.waitingCount() == 0)
    return;
  for (auto &[Job, Placement] : State_.Dispatcher_.poll(State_.now())) {
    const auto Entry = Waiters_.find(Job->Id_);
    if (Entry == Waiters_.end())
      continue;
    Entry->second->Turn_ = {std::move(Job), std::move(Placement)};
    Entry->second->Wake_.notify();
  }
}

} // namespace ebony::vm
