#ifndef EBONY_AGENT_CHANGESUBMITTER_H
#define EBONY_AGENT_CHANGESUBMITTER_H

#include "base/clock.h"
#include "config/changecommitter.h"
#include "config/storeclient.h"
#include "fleet/fleetstate.h"

#include <string>
#include <variant>
#include <vector>

namespace ebony::agent {

/// Change that an operator asks to commit to the table service.
struct ChangeSubmission {
  config::OperationId Operation_;
  std::vector<config::RecordChange> Changes_;
  /// Revision that the operator based the change on; negative when any current
  /// revision is accepted.
  config::Revision ExpectedRevision_ = -1;

  friend bool operator==(const ChangeSubmission &,
                         const ChangeSubmission &) = default;
};

/// Outcome of a submission.
enum class SubmitStatus {
  Committed,
  /// The records are malformed or inconsistent; nothing was committed.
  Invalid,
  /// Another change was committed first; nothing was committed.
  Raced,
  /// The operation id was already used for another change; nothing was
  /// committed.
  OperationReused,
  /// The table service did not accept the change; nothing was committed.
  Unavailable,
  /// The table service did not report whether the change was committed.
  Unknown,
};

/// Result of a submission.
struct SubmitResult {
  SubmitStatus Status_ = SubmitStatus::Unavailable;
  /// Revision of the committed change; otherwise the revision that the change
  /// conflicts with or the current one.
  config::Revision Revision_ = 0;
  base::Findings Findings_;

  friend bool operator==(const SubmitResult &, const SubmitResult &) = default;
};

/// Validates operators' changes against the current configuration and commits
/// them. Thread-safe.
class ChangeSubmitter {
public:
  ChangeSubmitter(fleet::FleetState &State, config::StoreClient Store,
                  const base::Clock &Clock);

  /// Validates and commits \p Submission; blocks until its outcome is known or
  /// a timeout expires.
  SubmitResult submit(const ChangeSubmission &Submission);

private:
  SubmitResult commit(config::ChangeCommitter &Committer);

  fleet::FleetState &State_;
  config::StoreClient Store_;
  const base::Clock &Clock_;
};

} // namespace ebony::agent

#endif
