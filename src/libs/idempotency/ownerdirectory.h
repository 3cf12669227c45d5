#ifndef EBONY_IDEMPOTENCY_OWNERDIRECTORY_H
#define EBONY_IDEMPOTENCY_OWNERDIRECTORY_H

#include "idempotency/submissionowner.h"

#include <map>
#include <optional>
#include <set>

namespace ebony::idempotency {

/// What a VM knows of where memories are; it may lag, as only holders decide.
class OwnerDirectory {
public:
  /// Notes that \p Successor accepted the memory of \p Holder.
  void recordSuccessor(const SubmissionOwner &Owner,
                       const SubmissionOwner &Successor);

  /// Notes that \p Holder has ended.
  void recordTerminated(const SubmissionOwner &Owner);

  /// Where a submission for \p Holder goes; none when its memory is gone.
  std::optional<SubmissionOwner> locate(const SubmissionOwner &Owner) const;

  friend bool operator==(const OwnerDirectory &,
                         const OwnerDirectory &) = default;

private:
  std::map<SubmissionOwner, SubmissionOwner> Successors_;
  std::set<SubmissionOwner> Terminated_;
};

} // namespace ebony::idempotency

#endif
