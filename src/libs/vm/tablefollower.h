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

/// What the reader of a table is told.
struct TableListener {
  /// All rows of the table; rows that are not among them do not exist.
  std::function<void(const std::vector<store::Row> &)> Replace_;
  /// Rows that were written or removed since.
  std::function<void(const std::vector<store::Row> &)> Change_;
  /// At the time given the store held nothing else than what has been told.
  std::function<void(base::TimePoint)> Confirmed_;
  /// The store answers again since the time given, after it did not.
  std::function<void(base::TimePoint)> Regained_;
};

/// Follows one table of the store by its changes, and reads it anew when its
/// history is gone. One VM of a region asks the store and passes its changes
/// on; the others ask when they have not heard of it for too long.
class TableFollower {
public:
  TableFollower(VmState &State, std::string Table, FollowPace Pace,
                TableListener Listener);

  /// Runs until the process ends.
  asynckit::awaitable<void> run();

  /// Ends a pause, so that the next question is sent at once.
  void hurry() { Pause_.cancel(); }

private:
  asynckit::awaitable<store::StoreStatus> readOnce(bool MayWait);
  /// Waits until it is this VM's turn to ask. True when it may wait at the
  /// store for changes.
  asynckit::awaitable<bool> awaitTurn();
  void publish(std::int64_t After, const store::Rows &Changes);
  void takeNews(const peers::TableNews &News);
  void take(const std::vector<store::Row> &Rows);
  void confirm();
  void noteRegained(base::TimePoint Since);
  asynckit::awaitable<void> pause(base::Duration Span);
  void noteStatus(store::StoreStatus Status);

  VmState &State_;
  std::string Table_;
  FollowPace Pace_;
  TableListener Listener_;
  std::unique_ptr<store::RowStore> Store_;
  boost::asio::steady_timer Pause_;
  store::FollowedTable Followed_;
  bool IsLost_ = false;
  /// Whether news has shown that changes are missing here.
  bool IsBehind_ = false;
  /// When the table was last heard of, from the store or another VM.
  base::TimePoint Heard_{std::chrono::hours(-1)};
  base::TimePoint Regained_{std::chrono::hours(-1)};
  base::Duration Retry_{};
};

} // namespace ebony::vm

#endif
