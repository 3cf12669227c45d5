#include "vm/tablefollower.h"

#include "store/position.h"

#include <algorithm>
#include <utility>

namespace ebony::vm {

using store::StoreStatus;
using telemetry::EventLine;

namespace {

// Delays after a failed call, doubled up to the maximum. The maximum is short,
// so that the return of the store is noticed within a fraction of a second.
constexpr base::Duration MinRetryDelay = std::chrono::milliseconds(100);
constexpr base::Duration MaxRetryDelay = std::chrono::milliseconds(400);

// Maximum delay on a VM that is not its region's reader: it learns of the
// store's return from the reader.
constexpr base::Duration MaxNonReaderRetryDelay =
    std::chrono::milliseconds(800);

// Maximum delay after an answer that cannot be read: the next one is likely to
// be the same, and each read of a whole table takes several calls.
constexpr base::Duration MaxMalformedRetryDelay = std::chrono::seconds(5);

// Interval at which a VM checks whether it has become its region's reader.
constexpr base::Duration ReaderCheckInterval = std::chrono::milliseconds(250);

// Time in which the operator and the upstreams write again what the store lost
// when it came back from an older copy.
constexpr base::Duration RestoreSpan = std::chrono::milliseconds(2000);

// Time for which table news mentions a return of the store. A return that
// began later than this after the previous one counts as a new one.
constexpr base::Duration StoreReturnSpan = std::chrono::milliseconds(2000);

} // namespace

TableFollower::TableFollower(VmState &State, std::string Table, FollowPace Pace,
                             TableListener Listener)
    : State_(State), Table_(std::move(Table)), Pace_(Pace),
      Listener_(std::move(Listener)), Store_(State.Platform_.MakeStore_()),
      PauseTimer_(State.Context_) {
  State_.News_.subscribe(
      Table_, [this](const peers::TableNews &News) { applyNews(News); });
}

asynckit::awaitable<void> TableFollower::run() {
  for (;;) {
    const bool MayLongPoll = co_await awaitPollTime();
    const base::TimePoint ReadStarted = State_.now();
    const StoreStatus Status = co_await readOnce(MayLongPoll);
    recordStatus(Status);
    if (Status == StoreStatus::Done) {
      const base::Duration Spent = State_.now() - ReadStarted;
      const base::Duration MinInterval = pace().MinInterval_;
      if (Spent < MinInterval)
        co_await pause(MinInterval - Spent);
      continue;
    }
    if (Status == StoreStatus::HistoryGone) {
      Followed_.reset();
      continue;
    }
    co_await pause(RetryDelay_);
  }
}

asynckit::awaitable<bool> TableFollower::awaitPollTime() {
  while (Followed_.hasSnapshot() && !IsBehind_ && !State_.readsForRegion() &&
         (!IsRereadDue_ || isRestoring())) {
    const base::TimePoint Now = State_.now();
    const base::Duration Remaining =
        pace().timeUntilPoll(Followed_.age(Now), Now - LastHeard_);
    if (Remaining <= base::Duration::zero())
      co_return false;
    co_await pause(std::min(Remaining, ReaderCheckInterval));
  }
  co_return !IsBehind_;
}

asynckit::awaitable<StoreStatus> TableFollower::readOnce(bool MayLongPoll) {
  if (IsRereadDue_ && !isRestoring())
    Followed_.reset();
  const bool IsFirst = !Followed_.hasSnapshot();
  const std::int64_t After = Followed_.version();
  const base::TimePoint ReadStarted = State_.now();
  store::RowsResult Result;
  if (IsFirst)
    Result = co_await Store_->readAll(Table_);
  else
    // No long poll after a failure: the store has to respond at once, because
    // its return is handled only then.
    Result = co_await Store_->readChanges(Table_, After,
                                          MayLongPoll && !IsStoreUnreachable_
                                              ? pace().LongPollWait_
                                              : base::Duration::zero());
  Problem_ = std::move(Result.Problem_);
  if (Result.Status_ != StoreStatus::Done)
    co_return Result.Status_;
  IsBehind_ = false;
  LastHeard_ = ReadStarted;
  if (IsStoreUnreachable_)
    reportStoreReturn(State_.now());
  if (IsFirst) {
    Followed_.applySnapshot(Result.Rows_, ReadStarted);
    replace(std::move(Result.Rows_));
    reportHeard();
    co_return StoreStatus::Done;
  }
  const auto NewRows = Followed_.applyChanges(
      After, Result.Rows_,
      Result.Rows_.HasMore_ ? std::nullopt : std::optional(ReadStarted));
  if (NewRows)
    applyChanges(*NewRows);
  if (!Result.Rows_.HasMore_)
    reportHeard();
  if (State_.readsForRegion())
    publish(After, Result.Rows_);
  co_return StoreStatus::Done;
}

void TableFollower::replace(store::Rows Snapshot) {
  const std::int64_t Previous =
      std::exchange(SnapshotPosition_, Snapshot.Version_);
  if (Previous >= 0 &&
      store::eraOf(Snapshot.Version_) > store::eraOf(Previous)) {
    beginRestore(Snapshot.Version_);
    return;
  }
  if (isRestoring())
    return;
  IsRereadDue_ = false;
  if (Listener_.AreRowsRenewed_)
    std::erase_if(Snapshot.Rows_, [this](const store::Row &Row) {
      return Row.Version_ <= RestorePosition_;
    });
  Listener_.OnReplace_(Snapshot.Rows_);
  confirm();
}

void TableFollower::beginRestore(std::int64_t Position) {
  State_.log(EventLine("store-restored")
                 .add("table", Table_)
                 .add("era", store::eraOf(Position))
                 .add("version", store::versionOf(Position)));
  RestorePosition_ = Position;
  RestoredUntil_ = State_.now() + RestoreSpan;
  IsRereadDue_ = true;
  if (Listener_.OnRestored_)
    Listener_.OnRestored_();
}

void TableFollower::publish(std::int64_t After, const store::Rows &Changes) {
  const base::TimePoint Now = State_.now();
  peers::TableNews News;
  News.Table_ = Table_;
  News.After_ = After;
  News.Changes_ = Changes;
  // What the store lost may still be written again.
  News.IsComplete_ = !Changes.HasMore_ && !isRestoring();
  News.Proof_.Age_ = Followed_.age(Now);
  if (Now - StoreReturned_ < StoreReturnSpan)
    News.SinceReturn_ = Now - StoreReturned_;
  State_.News_.publish(News);
}

void TableFollower::applyNews(const peers::TableNews &News) {
  const base::TimePoint Now = State_.now();
  if (!Followed_.hasSnapshot())
    return;
  std::optional<base::TimePoint> Proof;
  if (News.IsComplete_)
    Proof = traffic::confirmedTime(News.Proof_, State_.Incarnation_, Now);
  // Reports the return before the changes: entries that expired while the store
  // was unavailable have to be covered before their removal is applied. If this
  // VM reached the store all the while, only the sender was cut off.
  if (News.SinceReturn_ && IsStoreUnreachable_ &&
      Now - *News.SinceReturn_ > StoreReturned_ + StoreReturnSpan)
    reportStoreReturn(Now - *News.SinceReturn_);
  if (Proof && IsStoreUnreachable_) {
    IsStoreUnreachable_ = false;
    State_.log(
        EventLine("store-regained").add("table", Table_).add("by", "news"));
  }
  const auto NewRows =
      Followed_.applyChanges(News.After_, News.Changes_, Proof);
  if (!NewRows) {
    IsBehind_ = true;
    endPause();
    return;
  }
  applyChanges(*NewRows);
  if (!News.IsComplete_)
    return;
  LastHeard_ = Now;
  reportHeard();
}

void TableFollower::applyChanges(const std::vector<store::Row> &Rows) {
  if (!Rows.empty())
    Listener_.OnChange_(Rows);
  confirm();
}

void TableFollower::confirm() {
  const base::TimePoint Now = State_.now();
  if (Listener_.OnConfirmed_ && !isRestoring())
    Listener_.OnConfirmed_(Now - Followed_.age(Now));
}

void TableFollower::reportHeard() {
  if (Listener_.OnHeard_)
    Listener_.OnHeard_(State_.now());
}

void TableFollower::reportStoreReturn(base::TimePoint Since) {
  StoreReturned_ = Since;
  if (Listener_.OnStoreReturn_)
    Listener_.OnStoreReturn_(Since);
}

asynckit::awaitable<void> TableFollower::pause(base::Duration Span) {
  asynckit::error_code Ignored; // endPause() cancels the timer.
  PauseTimer_.expires_after(Span);
  co_await PauseTimer_.async_wait(asynckit::into(Ignored));
}

base::Duration TableFollower::maxRetryDelay() const {
  if (!Problem_.empty())
    return MaxMalformedRetryDelay;
  return State_.readsForRegion() ? MaxRetryDelay : MaxNonReaderRetryDelay;
}

void TableFollower::recordStatus(StoreStatus Status) {
  const bool IsReachable =
      Status == StoreStatus::Done || Status == StoreStatus::HistoryGone;
  if (IsReachable) {
    if (IsStoreUnreachable_)
      State_.log(EventLine("store-regained").add("table", Table_));
    IsStoreUnreachable_ = false;
    RetryDelay_ = MinRetryDelay;
    return;
  }
  State_.Metrics_.StoreFailures_.add();
  if (!IsStoreUnreachable_)
    State_.log(EventLine("store-lost")
                   .add("table", Table_)
                   .add("status", store::toText(Status))
                   .add("problem", Problem_));
  IsStoreUnreachable_ = true;
  RetryDelay_ =
      std::min(std::max(RetryDelay_ * 2, MinRetryDelay), maxRetryDelay());
}

} // namespace ebony::vm
