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

// The same for a VM for which another one reads: it hears of the return.
constexpr base::Duration LongestRestingRetry = std::chrono::milliseconds(800);

// Time between looks whether this VM has become its region's reader.
constexpr base::Duration TurnGap = std::chrono::milliseconds(250);

// Time for which the VMs of a region tell each other that the store came back;
// a return after it is another one.
constexpr base::Duration LongReturn = std::chrono::milliseconds(2000);

} // namespace

TableFollower::TableFollower(VmState &State, std::string Table, FollowPace Pace,
                             TableListener Listener)
    : State_(State), Table_(std::move(Table)), Pace_(Pace),
      Listener_(std::move(Listener)), Store_(State.Platform_.MakeStore_()),
      Pause_(State.Context_) {
  State_.News_.join(Table_,
                    [this](const peers::TableNews &News) { takeNews(News); });
}

asynckit::awaitable<void> TableFollower::run() {
  for (;;) {
    const bool MayWait = co_await awaitTurn();
    const base::TimePoint Asked = State_.now();
    const StoreStatus Status = co_await readOnce(MayWait);
    noteStatus(Status);
    if (Status == StoreStatus::Done) {
      const base::Duration Spent = State_.now() - Asked;
      if (Spent < Pace_.Gap_)
        co_await pause(Pace_.Gap_ - Spent);
      continue;
    }
    if (Status == StoreStatus::HistoryGone) {
      Followed_.reset();
      continue;
    }
    co_await pause(Retry_);
  }
}

asynckit::awaitable<bool> TableFollower::awaitTurn() {
  while (Followed_.hasSnapshot() && !IsBehind_ && !State_.readsForRegion()) {
    const base::TimePoint Now = State_.now();
    const base::Duration Rest = Pace_.rest(Followed_.age(Now), Now - Heard_);
    if (Rest <= base::Duration::zero())
      co_return false;
    co_await pause(std::min(Rest, TurnGap));
  }
  co_return !IsBehind_;
}

asynckit::awaitable<StoreStatus> TableFollower::readOnce(bool MayWait) {
  const bool IsFirst = !Followed_.hasSnapshot();
  const std::int64_t After = Followed_.version();
  const base::TimePoint Asked = State_.now();
  store::RowsResult Got;
  if (IsFirst)
    Got = co_await Store_->readAll(Table_);
  else
    // After a failure the answer must come at once: what rests on it waits.
    Got = co_await Store_->readChanges(
        Table_, After,
        MayWait && !IsLost_ ? Pace_.Wait_ : base::Duration::zero());
  if (Got.Status_ != StoreStatus::Done)
    co_return Got.Status_;
  IsBehind_ = false;
  Heard_ = Asked;
  if (IsLost_)
    noteRegained(State_.now());
  if (IsFirst) {
    Followed_.applySnapshot(Got.Rows_, Asked);
    Listener_.Replace_(Got.Rows_.Rows_);
    confirm();
    co_return StoreStatus::Done;
  }
  const auto New = Followed_.applyChanges(
      After, Got.Rows_,
      Got.Rows_.HasMore_ ? std::nullopt : std::optional(Asked));
  if (New)
    take(*New);
  if (State_.readsForRegion())
    publish(After, Got.Rows_);
  co_return StoreStatus::Done;
}

void TableFollower::publish(std::int64_t After, const store::Rows &Changes) {
  const base::TimePoint Now = State_.now();
  peers::TableNews News;
  News.Table_ = Table_;
  News.After_ = After;
  News.Changes_ = Changes;
  News.IsComplete_ = !Changes.HasMore_;
  News.Proof_.Age_ = Followed_.age(Now);
  if (Now - Regained_ < LongReturn)
    News.SinceReturn_ = Now - Regained_;
  State_.News_.publish(News);
}

void TableFollower::takeNews(const peers::TableNews &News) {
  const base::TimePoint Now = State_.now();
  if (!Followed_.hasSnapshot())
    return;
  std::optional<base::TimePoint> Proof;
  if (News.IsComplete_)
    Proof = traffic::provenTime(News.Proof_, State_.Incarnation_, Now);
  // Entries that lapsed while the store was away come before what removes them.
  // Where this VM had its answers meanwhile, only the sender was cut off.
  if (News.SinceReturn_ && IsLost_ &&
      Now - *News.SinceReturn_ > Regained_ + LongReturn)
    noteRegained(Now - *News.SinceReturn_);
  if (Proof && IsLost_) {
    IsLost_ = false;
    State_.log(
        EventLine("store-regained").add("table", Table_).add("by", "news"));
  }
  const auto New = Followed_.applyChanges(News.After_, News.Changes_, Proof);
  if (!New) {
    IsBehind_ = true;
    hurry();
    return;
  }
  if (News.IsComplete_)
    Heard_ = Now;
  take(*New);
}

void TableFollower::take(const std::vector<store::Row> &Rows) {
  if (!Rows.empty())
    Listener_.Change_(Rows);
  confirm();
}

void TableFollower::confirm() {
  const base::TimePoint Now = State_.now();
  if (Listener_.Confirmed_)
    Listener_.Confirmed_(Now - Followed_.age(Now));
}

void TableFollower::noteRegained(base::TimePoint Since) {
  Regained_ = Since;
  if (Listener_.Regained_)
    Listener_.Regained_(Since);
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
  Retry_ =
      std::min(std::max(Retry_ * 2, FirstRetry),
               State_.readsForRegion() ? LongestRetry : LongestRestingRetry);
}

} // namespace ebony::vm
