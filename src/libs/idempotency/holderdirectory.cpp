#include "idempotency/holderdirectory.h"

namespace ebony::idempotency {

namespace {

constexpr int MaxSuccessions = 16;

} // namespace

void HolderDirectory::recordSuccessor(const SubmissionOwner &Owner,
                                      const SubmissionOwner &Successor) {
  Successors_.insert_or_assign(Owner, Successor);
}

void HolderDirectory::recordTerminated(const SubmissionOwner &Owner) {
  Terminated_.insert(Owner);
}

std::optional<SubmissionOwner>
HolderDirectory::locate(const SubmissionOwner &Owner) const {
  SubmissionOwner CurrentOwner = Owner;
  for (int Step = 0; Step < MaxSuccessions; ++Step) {
    const auto Next = Successors_.find(CurrentOwner);
    if (Next == Successors_.end())
      break;
    CurrentOwner = Next->second;
  }
  if (Terminated_.contains(CurrentOwner))
    return std::nullopt;
  return CurrentOwner;
}

} // namespace ebony::idempotency
