#ifndef EBONY_IDEMPOTENCY_HOLDERDIRECTORY_H
#define EBONY_IDEMPOTENCY_HOLDERDIRECTORY_H

#include "idempotency/submissionowner.h"

#include <map>
#include <optional>
#include <set>

namespace ebony::idempotency {

/// What a VM knows of which VM holds the registry of each owner now. The
/// directory may be out of date, which is safe because only the VM that holds
/// a registry decides about its submissions.
class HolderDirectory {
public:
  /// Records that \p Successor accepted the registry of \p Owner.
  void recordSuccessor(const SubmissionOwner &Owner,
                       const SubmissionOwner &Successor);

  /// Records that \p Owner has ended.
  void recordTerminated(const SubmissionOwner &Owner);

  /// Returns the VM that submissions for \p Owner go to, or std::nullopt if the
  /// registry is lost.
  std::optional<SubmissionOwner> locate(const SubmissionOwner &Owner) const;

  friend bool operator==(const HolderDirectory &,
                         const HolderDirectory &) = default;

private:
  std::map<SubmissionOwner, SubmissionOwner> Successors_;
  std::set<SubmissionOwner> Terminated_;
};

} // namespace ebony::idempotency

#endif
