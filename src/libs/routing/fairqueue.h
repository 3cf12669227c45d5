#ifndef EBONY_ROUTING_FAIRQUEUE_H
#define EBONY_ROUTING_FAIRQUEUE_H

#include "base/name.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace ebony::routing {

/// Number that identifies a waiting request within the process.
using Ticket = std::uint64_t;

/// Request that waits for a slot.
struct WaitingRequest {
  Ticket Ticket_ = 0;
  base::CustomerName Customer_;
  /// Weight of the customer relative to other customers; at least 1.
  std::int64_t Weight_ = 1;
  base::TimePoint Deadline_;

  friend bool operator==(const WaitingRequest &,
                         const WaitingRequest &) = default;
};

/// Queue that schedules customers by deficit round robin. A customer with many
/// waiting requests delays its own requests, not those of other customers.
class FairQueue {
public:
  /// Each customer may have at most \p MaxPerCustomer requests waiting.
  explicit FairQueue(std::size_t MaxPerCustomer);

  /// Adds a request. Returns false when the customer already has the maximum
  /// number of waiting requests.
  bool push(const WaitingRequest &Request);

  /// Removes and returns the next request; std::nullopt when the queue is
  /// empty.
  std::optional<WaitingRequest> pop();

  /// Removes the request \p WaitingTicket. Returns false when it is not in the
  /// queue.
  bool remove(Ticket WaitingTicket, const base::CustomerName &Customer);

  /// Removes and returns all requests whose deadline is at or before \p Now.
  std::vector<WaitingRequest> removeExpired(base::TimePoint Now);

  std::size_t size() const { return Size_; }
  bool isEmpty() const { return Size_ == 0; }

private:
  struct CustomerQueue {
    std::deque<WaitingRequest> Requests_;
    std::int64_t Deficit_ = 0;
  };

  void removeIfEmpty(const base::CustomerName &Customer);

  std::size_t MaxPerCustomer_;
  std::size_t Size_ = 0;
  std::map<base::CustomerName, CustomerQueue> Customers_;
  std::deque<base::CustomerName> RoundRobinOrder_;
};

} // namespace ebony::routing

#endif
