#ifndef EBONY_VM_TABLEFOLLOWER_H
#define EBONY_VM_TABLEFOLLOWER_H

#include "asynckit/awaiting.h"
#include "store/followedtable.h"
#include "vm/followpaces.h"
#include "vm/vmstate.h"

#include <functional>
#include <string>
#include <vector>

namespace ebony::vm {

/// Callbacks of a TableFollower; any but OnReplace_ and OnChange_ may be empty.
struct TableListener {
  /// Called with all rows of the table; rows that are not among them do not
  /// exist.
  std::function<void(const std::vector<store::Row> &)> OnReplace_;
  /// Called with the rows that were written or removed since the last call.
  std::function<void(const std::vector<store::Row> &)> OnChange_;
  /// Called when the reported rows are proven to be the store's content at the
  /// given time.
  std::function<void(base::TimePoint)> OnConfirmed_;
  /// Called when the store is reachable again, with the time at which it came
  /// back.
  std::function<void(base::TimePoint)> OnStoreReturn_;
  /// Called when the store has come back from an older copy: what was written
  /// since the copy is gone.
  std::function<void()> OnRestored_ = nullptr;
  /// Whether each row is written again and again by what it describes, so that
  /// a row that is not written again after a restore describes nothing.
  bool AreRowsRenewed_ = false;
  /// Called when complete news of the table has arrived, from the store or from
  /// another VM.
  std::function<void(base::TimePoint)> OnHeard_ = nullptr;
};

/// Follows one table of the store by its changes, and reads the whole table
/// again when the store no longer has the history. When the store comes back
/// from an older copy, what is known stays in force, unconfirmed, until its
/// writers had the time to write again what the copy lacks. One VM of a region
/// reads the store and forwards the changes; the others read it only when they
/// have received no news for too long.
class TableFollower {
public:
  TableFollower(VmState &State, std::string Table, FollowPace Pace,
                TableListener Listener);

  /// Runs until the process ends.
  asynckit::awaitable<void> run();

  /// Ends the current pause, so that the next read starts at once.
  void endPause() { PauseTimer_.cancel(); }

  /// Returns the position in the store's history up to which the table is
  /// known; -1 if it is not.
  std::int64_t position() const { return Followed_.version(); }

private:
  asynckit::awaitable<store::StoreStatus> readOnce(bool MayLongPoll);
  /// Returns the pace that the VMs that are heard allow.
  FollowPace pace() const {
    return State_.Isolation_.hearsFewVms() ? Pace_.withoutOthers() : Pace_;
  }
  /// Waits until this VM has to read the store. Returns true if the read may be
  /// a long poll.
  asynckit::awaitable<bool> awaitPollTime();
  void publish(std::int64_t After, const store::Rows &Changes);
  void applyNews(const peers::TableNews &News);
  void applyChanges(const std::vector<store::Row> &Rows);
  void confirm();
  void reportHeard();
  void reportStoreReturn(base::TimePoint Since);
  /// Handles the first snapshot after the store came back from an older copy.
  void beginRestore(std::int64_t Position);
  bool isRestoring() const { return State_.now() < RestoredUntil_; }
  void replace(store::Rows Snapshot);
  asynckit::awaitable<void> pause(base::Duration Span);
  void recordStatus(store::StoreStatus Status);
  base::Duration maxRetryDelay() const;

  VmState &State_;
  std::string Table_;
  FollowPace Pace_;
  TableListener Listener_;
  std::unique_ptr<store::RowStore> Store_;
  boost::asio::steady_timer PauseTimer_;
  store::FollowedTable Followed_;
  bool IsStoreUnreachable_ = false;
  /// Whether table news has shown that this VM lacks changes.
  bool IsBehind_ = false;
  /// Time of the last information about the table, from the store or from
  /// another VM.
  base::TimePoint LastHeard_{std::chrono::hours(-1)};
  base::TimePoint StoreReturned_{std::chrono::hours(-1)};
  base::Duration RetryDelay_{};
  /// What is wrong with the last answer of the store; empty if it could be
  /// read.
  std::string Problem_;
  /// Position of the last snapshot; -1 before the first one.
  std::int64_t SnapshotPosition_ = -1;
  /// Position of the store when it came back from an older copy.
  std::int64_t RestorePosition_ = -1;
  base::TimePoint RestoredUntil_{std::chrono::hours(-1)};
  /// Whether the table has to be read again when the time to write rows again
  /// is over.
  bool IsRereadDue_ = false;
};

} // namespace ebony::vm

#endif
