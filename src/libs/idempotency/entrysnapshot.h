#ifndef EBONY_IDEMPOTENCY_ENTRYSNAPSHOT_H
#define EBONY_IDEMPOTENCY_ENTRYSNAPSHOT_H

#include "idempotency/claim.h"
#include "idempotency/storedanswer.h"
#include "idempotency/submissionstate.h"

#include <cstdint>

namespace ebony::idempotency {

/// Stored state of one submission.
struct EntrySnapshot {
  std::uint64_t Counter_ = 0;
  SubmissionState State_ = SubmissionState::Running;
  std::uint64_t Fingerprint_ = 0;
  /// Highest attempt number among the copies received; 0 if none had a number.
  std::uint32_t HighestAttempt_ = 0;
  /// Row that claims a caller-made key for this submission.
  ClaimRow Claim_;
  /// The complete answer, or null if it is not stored.
  StoredAnswerPtr Answer_;

  friend bool operator==(const EntrySnapshot &,
                         const EntrySnapshot &) = default;
};

} // namespace ebony::idempotency

#endif
