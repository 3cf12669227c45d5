#include "routing/fairqueue.h"

#include <algorithm>

namespace ebony::routing {

FairQueue::FairQueue(std::size_t MaxPerCustomer)
    : MaxPerCustomer_(MaxPerCustomer) {}

bool FairQueue::push(const WaitingRequest &Request) {
  CustomerQueue &Queue = Customers_[Request.Customer_];
  if (Queue.Requests_.size() >= MaxPerCustomer_)
    return false;
  if (Queue.Requests_.empty())
    RoundRobinOrder_.push_back(Request.Customer_);
  Queue.Requests_.push_back(Request);
  ++Size_;
  return true;
}

std::optional<WaitingRequest> FairQueue::pop() {
  if (RoundRobinOrder_.empty())
    return std::nullopt;
  const base::CustomerName Customer = RoundRobinOrder_.front();
  CustomerQueue &Queue = Customers_[Customer];
  WaitingRequest Next = std::move(Queue.Requests_.front());
  Queue.Requests_.pop_front();
  --Size_;
  if (Queue.Deficit_ == 0)
    Queue.Deficit_ = std::max<std::int64_t>(1, Next.Weight_);
  --Queue.Deficit_;
  if (Queue.Requests_.empty()) {
    removeIfEmpty(Customer);
  } else if (Queue.Deficit_ == 0) {
    RoundRobinOrder_.pop_front();
    RoundRobinOrder_.push_back(Customer);
  }
  return Next;
}

bool FairQueue::remove(Ticket WaitingTicket,
                       const base::CustomerName &Customer) {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end())
    return false;
  auto &Requests = Found->second.Requests_;
  const auto Position = std::find_if(Requests.begin(), Requests.end(),
                                     [&](const WaitingRequest &Request) {
                                       return Request.Ticket_ == WaitingTicket;
                                     });
  if (Position == Requests.end())
    return false;
  Requests.erase(Position);
  --Size_;
  removeIfEmpty(Customer);
  return true;
}

std::vector<WaitingRequest> FairQueue::removeExpired(base::TimePoint Now) {
  std::vector<WaitingRequest> Expired;
  for (const auto &[Customer, Queue] : Customers_)
    for (const WaitingRequest &Request : Queue.Requests_)
      if (Request.Deadline_ <= Now)
        Expired.push_back(Request);
  for (const WaitingRequest &Request : Expired)
    remove(Request.Ticket_, Request.Customer_);
  return Expired;
}

void FairQueue::removeIfEmpty(const base::CustomerName &Customer) {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end() || !Found->second.Requests_.empty())
    return;
  Customers_.erase(Found);
  RoundRobinOrder_.erase(
      std::remove(RoundRobinOrder_.begin(), RoundRobinOrder_.end(), Customer),
      RoundRobinOrder_.end());
}

} // namespace ebony::routing
