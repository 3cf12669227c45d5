#ifndef EBONY_IDEMPOTENCY_OWNERDIRECTORY_H
#define EBONY_IDEMPOTENCY_OWNERDIRECTORY_H

#include "idempotency/submissionowner.h"

#include <map>
#include <optional>
#include <set>

namespace ebony::idempotency {

/// Successors and ended owners that a VM knows of. The directory may be out of
/// date, which is safe because only the owner itself decides about a
/// submission.
class OwnerDirectory {
public:
  /// Records that \p Successor accepted the registry of \p Owner.
  void recordSuccessor(const SubmissionOwner &Owner,
                       const SubmissionOwner &Successor);

  /// Records that \p Owner has ended.
  void recordTerminated(const SubmissionOwner &Owner);

  /// Returns the VM that submissions for \p Owner go to, or std::nullopt if the
  /// registry is lost.
  std::optional<SubmissionOwner> locate(const SubmissionOwner &Owner) const;

  friend bool operator==(const OwnerDirectory &,
                         const OwnerDirectory &) = default;

private:
  std::map<SubmissionOwner, SubmissionOwner> Successors_;
  std::set<SubmissionOwner> Terminated_;
};

} // namespace ebony::idempotency

#endif
