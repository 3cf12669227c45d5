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
};

/// Follows one table of the store by its changes, and reads the whole table
/// again when the store no longer has the history. One VM of a region reads the
/// store and forwards the changes; the others read it only when they have
/// received no news for too long.
class TableFollower {
public:
  TableFollower(VmState &State, std::string Table, FollowPace Pace,
                TableListener Listener);

  /// Runs until the process ends.
  asynckit::awaitable<void> run();

  /// Ends the current pause, so that the next read starts at once.
  void endPause() { PauseTimer_.cancel(); }

private:
  asynckit::awaitable<store::StoreStatus> readOnce(bool MayLongPoll);
  /// Waits until this VM has to read the store. Returns true if the read may be
  /// a long poll.
  asynckit::awaitable<bool> awaitPollTime();
  void publish(std::int64_t After, const store::Rows &Changes);
  void applyNews(const peers::TableNews &News);
  void applyChanges(const std::vector<store::Row> &Rows);
  void confirm();
  void reportStoreReturn(base::TimePoint Since);
  asynckit::awaitable<void> pause(base::Duration Span);
  void recordStatus(store::StoreStatus Status);

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
};

} // namespace ebony::vm

#endif
