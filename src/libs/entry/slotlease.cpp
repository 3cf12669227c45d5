#include "entry/slotlease.h"

#include "entry/dispatcher.h"

namespace ebony::entry {

SlotLease::SlotLease(Dispatcher &Owner, base::ServiceName Service,
                     routing::TargetChoice Choice)
    : Dispatcher_(&Owner), Service_(std::move(Service)),
      Choice_(std::move(Choice)) {}

SlotLease::SlotLease(SlotLease &&Other) noexcept
    : Dispatcher_(Other.Dispatcher_), Service_(std::move(Other.Service_)),
      Choice_(std::move(Other.Choice_)), Result_(Other.Result_),
      ReportedPermille_(Other.ReportedPermille_) {
  Other.Dispatcher_ = nullptr;
}

SlotLease::~SlotLease() {
  if (Dispatcher_ != nullptr)
    Dispatcher_->release(Service_, Choice_.Name_, Result_, ReportedPermille_);
}

void SlotLease::recordResult(routing::AttemptResult Result,
                             std::optional<std::int64_t> ReportedPermille) {
  Result_ = Result;
  ReportedPermille_ = ReportedPermille;
}

} // namespace ebony::entry
