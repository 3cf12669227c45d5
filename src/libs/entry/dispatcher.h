#ifndef EBONY_ENTRY_DISPATCHER_H
#define EBONY_ENTRY_DISPATCHER_H

#include "base/clock.h"
#include "entry/requestcontext.h"
#include "entry/slotlease.h"
#include "fleet/fleetstate.h"
#include "routing/dispatchqueue.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace ebony::entry {

/// Reason why a request was not given a slot.
enum class DispatchFailure {
  /// The zone has no usable target of the service.
  NoTarget,
  /// The customer already has the maximum number of waiting requests.
  QueueFull,
  /// The deadline passed before a slot was free.
  DeadlinePassed,
};

/// Grants the slots of this zone's targets to request threads. Each service has
/// its own queue and lock. Thread-safe.
class Dispatcher {
public:
  Dispatcher(const fleet::FleetState &State, const base::Clock &Clock,
             base::VmIdentity OwnVm, std::size_t MaxWaitingPerCustomer,
             std::uint64_t Seed);
  ~Dispatcher();

  /// Blocks until a slot is granted or the request's deadline passes.
  std::variant<SlotLease, DispatchFailure>
  waitForSlot(const RequestContext &Context);

  /// Returns whether the zone has a usable target of \p Service.
  bool hasUsableTarget(const base::ServiceName &Service);

  /// Applies the current targets and slots of all services; called
  /// periodically.
  void refresh();

private:
  friend class SlotLease;
  struct ServiceQueue;

  void release(const base::ServiceName &Service,
               const base::UpstreamName &Target, routing::AttemptResult Result,
               std::optional<std::int64_t> ReportedPermille);
  std::shared_ptr<ServiceQueue> queueFor(const base::ServiceName &Service);
  void updateTargets(const base::ServiceName &Service, ServiceQueue &Queue);
  void grantSlots(ServiceQueue &Queue);

  const fleet::FleetState &State_;
  const base::Clock &Clock_;
  base::VmIdentity OwnVm_;
  std::size_t MaxWaitingPerCustomer_;
  std::uint64_t Seed_;
  std::mutex QueuesLock_;
  std::map<base::ServiceName, std::shared_ptr<ServiceQueue>> Queues_;
};

} // namespace ebony::entry

#endif
