#include "entry/dispatcher.h"

#include "base/hashing.h"
#include "routing/slotdivision.h"

namespace ebony::entry {

/// Queue of one service, the slots granted to waiting threads, and the lock
/// that guards both.
struct Dispatcher::ServiceQueue {
  explicit ServiceQueue(routing::DispatchQueue Queue)
      : Queue_(std::move(Queue)) {}

  std::mutex Lock_;
  std::condition_variable Granted_;
  routing::DispatchQueue Queue_;
  std::map<routing::Ticket, routing::TargetChoice> Grants_;
  routing::Ticket LastTicket_ = 0;
};

Dispatcher::Dispatcher(const fleet::FleetState &State, const base::Clock &Clock,
                       base::VmIdentity OwnVm,
                       std::size_t MaxWaitingPerCustomer, std::uint64_t Seed)
    : State_(State), Clock_(Clock), OwnVm_(std::move(OwnVm)),
      MaxWaitingPerCustomer_(MaxWaitingPerCustomer), Seed_(Seed) {}

Dispatcher::~Dispatcher() = default;

std::shared_ptr<Dispatcher::ServiceQueue>
Dispatcher::queueFor(const base::ServiceName &Service) {
  const std::lock_guard Guard(QueuesLock_);
  auto &Queue = Queues_[Service];
  if (!Queue) {
    routing::TargetPool Targets(
        {}, base::RandomEngine(base::stableHash(Service.text(), Seed_)));
    Queue = std::make_shared<ServiceQueue>(
        routing::DispatchQueue(std::move(Targets), MaxWaitingPerCustomer_));
    updateTargets(Service, *Queue);
  }
  return Queue;
}

void Dispatcher::updateTargets(const base::ServiceName &Service,
                               ServiceQueue &Queue) {
  const auto Configuration = State_.configuration();
  const auto Members = State_.members();
  const auto Rank = Members->rankInZone(OwnVm_.address(), OwnVm_.zone());
  const std::size_t VmCount = Members->inZone(OwnVm_.zone()).size();
  std::vector<routing::TargetShare> Shares;
  for (const auto &[Name, Upstream] :
       Configuration->all<records::UpstreamRecord>()) {
    if (Upstream.Service_ != Service || Upstream.Zone_ != OwnVm_.zone())
      continue;
    const std::int64_t OwnSlots =
        Rank ? routing::divideSlots(Upstream.Name_, Upstream.Slots_, *Rank,
                                    VmCount)
             : 0;
    Shares.push_back(
        {Upstream.Name_, OwnSlots, Configuration->isDrained(Upstream.Name_)});
  }
  const std::lock_guard Guard(Queue.Lock_);
  Queue.Queue_.targets().update(Shares, Clock_.now());
  grantSlots(Queue);
}

void Dispatcher::refresh() {
  std::map<base::ServiceName, std::shared_ptr<ServiceQueue>> Queues;
  {
    const std::lock_guard Guard(QueuesLock_);
    Queues = Queues_;
  }
  for (const auto &[Service, Queue] : Queues)
    updateTargets(Service, *Queue);
}

void Dispatcher::grantSlots(ServiceQueue &Queue) {
  const auto Grants = Queue.Queue_.grantSlots(Clock_.now());
  for (const routing::Grant &NewGrant : Grants)
    Queue.Grants_.emplace(NewGrant.Ticket_, NewGrant.Choice_);
  if (!Grants.empty())
    Queue.Granted_.notify_all();
}

bool Dispatcher::hasUsableTarget(const base::ServiceName &Service) {
  const auto Queue = queueFor(Service);
  const std::lock_guard Guard(Queue->Lock_);
  return Queue->Queue_.targets().hasUsableTarget(Clock_.now());
}

std::variant<SlotLease, DispatchFailure>
Dispatcher::waitForSlot(const RequestContext &Context) {
  const base::ServiceName &Service = Context.Path_.Service_;
  const auto Queue = queueFor(Service);
  std::unique_lock Guard(Queue->Lock_);
  if (!Queue->Queue_.targets().hasUsableTarget(Clock_.now()))
    return DispatchFailure::NoTarget;
  const routing::Ticket OwnTicket = ++Queue->LastTicket_;
  if (!Queue->Queue_.enqueue(
          {OwnTicket, Context.Customer_, Context.Weight_, Context.Deadline_}))
    return DispatchFailure::QueueFull;
  grantSlots(*Queue);
  const base::Duration MaxWait = Context.Deadline_ - Clock_.now();
  Queue->Granted_.wait_for(
      Guard, MaxWait, [&] { return Queue->Grants_.count(OwnTicket) != 0; });
  const auto Granted = Queue->Grants_.find(OwnTicket);
  if (Granted == Queue->Grants_.end()) {
    Queue->Queue_.cancel(OwnTicket, Context.Customer_);
    return DispatchFailure::DeadlinePassed;
  }
  routing::TargetChoice Choice = std::move(Granted->second);
  Queue->Grants_.erase(Granted);
  return std::variant<SlotLease, DispatchFailure>(
      std::in_place_type<SlotLease>, *this, Service, std::move(Choice));
}

void Dispatcher::release(const base::ServiceName &Service,
                         const base::UpstreamName &Target,
                         routing::AttemptResult Result,
                         std::optional<std::int64_t> ReportedPermille) {
  const auto Queue = queueFor(Service);
  const std::lock_guard Guard(Queue->Lock_);
  Queue->Queue_.targets().release(Target, Result, ReportedPermille,
                                  Clock_.now());
  grantSlots(*Queue);
}

} // namespace ebony::entry
