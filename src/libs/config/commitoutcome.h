#ifndef EBONY_CONFIG_COMMITOUTCOME_H
#define EBONY_CONFIG_COMMITOUTCOME_H

#include "config/revision.h"

namespace ebony::config {

/// Result of an attempt to commit a change.
enum class CommitResult {
  /// The change was committed at the given revision.
  Committed,
  /// Another change was committed first; the given revision is the newest.
  Raced,
  /// The operation id was used for another change, at the given revision.
  OperationReused,
};

/// Final result of a ChangeCommitter.
struct CommitOutcome {
  CommitResult Result_ = CommitResult::Raced;
  Revision Revision_ = 0;

  friend bool operator==(const CommitOutcome &,
                         const CommitOutcome &) = default;
};

} // namespace ebony::config

#endif
