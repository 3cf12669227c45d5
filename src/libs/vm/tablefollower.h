#ifndef EBONY_VM_TABLEFOLLOWER_H
#define EBONY_VM_TABLEFOLLOWER_H

#include "asynckit/awaiting.h"
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
  /// The store answered to a question that was sent at the time given, and all
  /// it said has been told.
  std::function<void(base::TimePoint)> Confirmed_;
  /// The store answers again after it did not.
  std::function<void()> Regained_;
};

/// Follows one table of the store by its changes, and reads it anew when its
/// history is gone.
class TableFollower {
public:
  TableFollower(VmState &State, std::string Table, FollowPace Pace,
                TableListener Listener);

  /// Runs until the process ends.
  asynckit::awaitable<void> run();

  /// Ends a pause, so that the next question is sent at once.
  void hurry() { Pause_.cancel(); }

private:
  asynckit::awaitable<store::StoreStatus> readOnce();
  asynckit::awaitable<void> pause(base::Duration Span);
  void noteStatus(store::StoreStatus Status);

  VmState &State_;
  std::string Table_;
  FollowPace Pace_;
  TableListener Listener_;
  std::unique_ptr<store::RowStore> Store_;
  boost::asio::steady_timer Pause_;
  std::int64_t Version_ = -1;
  bool IsLost_ = false;
  base::Duration Retry_{};
};

} // namespace ebony::vm

#endif
