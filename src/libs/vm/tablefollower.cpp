#include "vm/tablefollower.h"

#include <algorithm>

namespace ebony::vm {

using store::StoreStatus;
using telemetry::EventLine;

namespace {

// Pauses after a failed call; doubled up to the longest, so that a store that
// comes back is noticed within a part of a second.
constexpr base::Duration FirstRetry = std::chrono::milliseconds(100);
constexpr base::Duration LongestRetry = std::chrono::milliseconds(400);

} // namespace

TableFollower::TableFollower(VmState &State, std::string Table, FollowPace Pace,
                             TableListener Listener)
    : State_(State), Table_(std::move(Table)), Pace_(Pace),
      Listener_(std::move(Listener)), Store_(State.Platform_.MakeStore_()),
      Pause_(State.Context_) {}

asynckit::awaitable<void> TableFollower::run() {
  for (;;) {
    const base::TimePoint Asked = State_.now();
    const StoreStatus Status = co_await readOnce();
    noteStatus(Status);
    if (Status == StoreStatus::Done) {
      if (Listener_.Confirmed_)
        Listener_.Confirmed_(Asked);
      const base::Duration Spent = State_.now() - Asked;
      if (Spent < Pace_.Gap_)
        co_await pause(Pace_.Gap_ - Spent);
      continue;
    }
    if (Status == StoreStatus::HistoryGone) {
      Version_ = -1;
      continue;
    }
    co_await pause(Retry_);
  }
}

asynckit::awaitable<StoreStatus> TableFollower::readOnce() {
  const bool IsFirst = Version_ < 0;
  store::RowsResult Got;
  if (IsFirst)
    Got = co_await Store_->readAll(Table_);
  else
    // After a failure the answer must come at once: what rests on it waits.
    Got = co_await Store_->readChanges(
        Table_, Version_, IsLost_ ? base::Duration::zero() : Pace_.Wait_);
  if (Got.Status_ != StoreStatus::Done)
    co_return Got.Status_;
  if (IsLost_ && Listener_.Regained_)
    Listener_.Regained_();
  Version_ = Got.Rows_.Version_;
  if (IsFirst)
    Listener_.Replace_(Got.Rows_.Rows_);
  else if (!Got.Rows_.Rows_.empty())
    Listener_.Change_(Got.Rows_.Rows_);
  co_return StoreStatus::Done;
}

asynckit::awaitable<void> TableFollower::pause(base::Duration Span) {
  asynckit::error_code Ignored; // A cancelled pause ends early on purpose.
  Pause_.expires_after(Span);
  co_await Pause_.async_wait(asynckit::into(Ignored));
}

void TableFollower::noteStatus(StoreStatus Status) {
  const bool IsGood =
      Status == StoreStatus::Done || Status == StoreStatus::HistoryGone;
  if (IsGood) {
    if (IsLost_)
      State_.log(EventLine("store-regained").add("table", Table_));
    IsLost_ = false;
    Retry_ = FirstRetry;
    return;
  }
  State_.Metrics_.StoreFailures_.add();
  if (!IsLost_)
    State_.log(EventLine("store-lost")
                   .add("table", Table_)
                   .add("status", store::toText(Status)));
  IsLost_ = true;
  Retry_ = std::min(std::max(Retry_ * 2, FirstRetry), LongestRetry);
}

} // namespace ebony::vm
