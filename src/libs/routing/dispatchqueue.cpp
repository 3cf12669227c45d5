#include "routing/dispatchqueue.h"

namespace ebony::routing {

DispatchQueue::DispatchQueue(TargetPool Targets,
                             std::size_t MaxWaitingPerCustomer)
    : Targets_(std::move(Targets)), WaitingRequests_(MaxWaitingPerCustomer) {}

bool DispatchQueue::enqueue(const WaitingRequest &Request) {
  return WaitingRequests_.push(Request);
}

std::vector<Grant> DispatchQueue::grantSlots(base::TimePoint Now) {
  std::vector<Grant> Grants;
  WaitingRequests_.removeExpired(Now);
  while (!WaitingRequests_.isEmpty()) {
    auto Choice = Targets_.acquire(Now);
    if (!Choice)
      break;
    Grants.push_back({WaitingRequests_.pop()->Ticket_, std::move(*Choice)});
  }
  return Grants;
}

bool DispatchQueue::cancel(Ticket WaitingTicket,
                           const base::CustomerName &Customer) {
  return WaitingRequests_.remove(WaitingTicket, Customer);
}

} // namespace ebony::routing
