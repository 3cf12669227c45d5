#ifndef EBONY_ROUTING_DISPATCHQUEUE_H
#define EBONY_ROUTING_DISPATCHQUEUE_H

#include "routing/fairqueue.h"
#include "routing/targetpool.h"

#include <vector>

namespace ebony::routing {

/// Slot granted to a waiting request.
struct Grant {
  Ticket Ticket_ = 0;
  TargetChoice Choice_;

  friend bool operator==(const Grant &, const Grant &) = default;
};

/// Targets of one service and the queue of requests that wait for their slots.
/// Not thread-safe.
class DispatchQueue {
public:
  DispatchQueue(TargetPool Targets, std::size_t MaxWaitingPerCustomer);

  /// Adds a request to the queue. Returns false when the customer has too many
  /// requests waiting.
  bool enqueue(const WaitingRequest &Request);

  /// Grants free slots to waiting requests in queue order and returns the
  /// grants. Removes expired requests first.
  std::vector<Grant> grantSlots(base::TimePoint Now);

  /// Removes a request from the queue. Returns false when it no longer waits,
  /// for example because it was granted a slot.
  bool cancel(Ticket WaitingTicket, const base::CustomerName &Customer);

  TargetPool &targets() { return Targets_; }
  const TargetPool &targets() const { return Targets_; }
  std::size_t waitingCount() const { return WaitingRequests_.size(); }

private:
  TargetPool Targets_;
  FairQueue WaitingRequests_;
};

} // namespace ebony::routing

#endif
