#ifndef EBONY_VM_DISPATCHDESK_H
#define EBONY_VM_DISPATCHDESK_H

#include "asynckit/autoresetevent.h"
#include "vm/vmstate.h"

#include <map>
#include <memory>

namespace ebony::vm {

/// A request whose turn came, or that must not wait longer.
struct Turn {
  std::unique_ptr<traffic::Job> Job_;
  traffic::Placement Placement_;
};

/// Lets requests wait for the dispatcher's decisions.
class DispatchDesk {
public:
  explicit DispatchDesk(VmState &State) : State_(State) {}

  /// Returns when the request may be sent, in which case its slot is taken, or
  /// is refused. No job comes back when it was cancelled meanwhile.
  asynckit::awaitable<Turn> acquire(std::unique_ptr<traffic::Job> Job);

  /// Gives the slot back and lets others move up.
  void finish(const Turn &Done, traffic::AttemptResult Result,
              base::Duration Taken);

  /// Ends the wait of a request whose caller left.
  void cancel(traffic::JobId Id);

  /// Decides again about all that wait; to be called at each tick.
  void poll();

private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context &Context) : Wake_(Context) {}

    asynckit::AutoResetEvent Wake_;
    Turn Turn_;
  };

  VmState &State_;
  std::map<traffic::JobId, std::shared_ptr<Waiter>> Waiters_;
};

} // namespace ebony::vm

#endif
