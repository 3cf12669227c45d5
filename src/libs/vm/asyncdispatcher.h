#ifndef EBONY_VM_ASYNCDISPATCHER_H
#define EBONY_VM_ASYNCDISPATCHER_H

#include "asynckit/autoresetevent.h"
#include "vm/vmstate.h"

#include <map>
#include <memory>

namespace ebony::vm {

/// A request with the placement that the dispatcher decided on.
struct PlacedJob {
  std::unique_ptr<traffic::Job> Job_;
  traffic::Placement Placement_;
};

/// Coroutine interface to traffic::Dispatcher: suspends requests until the
/// dispatcher places or refuses them.
class AsyncDispatcher {
public:
  explicit AsyncDispatcher(VmState &State) : State_(State) {}

  /// Waits until the request is placed, in which case its slot is taken, or
  /// refused. Returns a null Job_ if the request was cancelled while it waited.
  asynckit::awaitable<PlacedJob> acquire(std::unique_ptr<traffic::Job> Job);

  /// Releases the slot, records the result of the attempt and dispatches
  /// waiting requests.
  void finish(const PlacedJob &Finished, traffic::AttemptResult Result,
              base::Duration Elapsed);

  /// Cancels a waiting request whose caller disconnected.
  void cancel(traffic::JobId Id);

  /// Reconsiders all waiting requests. Call it at each tick.
  void poll();

private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context &Context) : Wakeup_(Context) {}

    asynckit::AutoResetEvent Wakeup_;
    PlacedJob Result_;
  };

  VmState &State_;
  std::map<traffic::JobId, std::shared_ptr<Waiter>> Waiters_;
};

} // namespace ebony::vm

#endif
