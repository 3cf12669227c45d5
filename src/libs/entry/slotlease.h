#ifndef EBONY_ENTRY_SLOTLEASE_H
#define EBONY_ENTRY_SLOTLEASE_H

#include "routing/targetpool.h"

#include <optional>

namespace ebony::entry {

class Dispatcher;

/// Slot of a target held by a request; released by the destructor.
class SlotLease {
public:
  SlotLease(Dispatcher &Owner, base::ServiceName Service,
            routing::TargetChoice Choice);
  ~SlotLease();
  SlotLease(SlotLease &&Other) noexcept;
  SlotLease(const SlotLease &) = delete;
  SlotLease &operator=(const SlotLease &) = delete;
  SlotLease &operator=(SlotLease &&) = delete;

  const routing::TargetChoice &choice() const { return Choice_; }

  /// Records how the attempt ended; without a call it counts as failed.
  void recordResult(routing::AttemptResult Result,
                    std::optional<std::int64_t> ReportedPermille);

private:
  Dispatcher *Dispatcher_;
  base::ServiceName Service_;
  routing::TargetChoice Choice_;
  routing::AttemptResult Result_ = routing::AttemptResult::Failed;
  std::optional<std::int64_t> ReportedPermille_;
};

} // namespace ebony::entry

#endif
