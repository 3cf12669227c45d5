#ifndef EBONY_IDEMPOTENCY_SUBMISSIONSTATE_H
#define EBONY_IDEMPOTENCY_SUBMISSIONSTATE_H

#include <cstdint>

namespace ebony::idempotency {

/// Progress of a stored submission.
enum class SubmissionState : std::uint8_t {
  Unclaimed,            ///< No claim is known and none is requested.
  Claiming,             ///< The claim is requested from the table service.
  Running,              ///< It may have been sent to an upstream.
  RunningAtPredecessor, ///< The predecessor was running it at the handover.
  Complete,             ///< Its complete answer was received.
  Closed,               ///< It was answered "not run".
  Unknown               ///< An upstream may have run it.
};

} // namespace ebony::idempotency

#endif
