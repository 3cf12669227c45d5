#ifndef EBONY_IDEMPOTENCY_SUBMISSIONSTATE_H
#define EBONY_IDEMPOTENCY_SUBMISSIONSTATE_H

#include <cstdint>

namespace ebony::idempotency {

/// How far a remembered submission has got.
enum class SubmissionState : std::uint8_t {
  Unclaimed,            ///< No claim is known to be held; none is asked for.
  Claiming,             ///< The table service is asked for the claim.
  Running,              ///< It may have reached an upstream.
  RunningAtPredecessor, ///< The predecessor ran it at the hand-over.
  Complete,             ///< Its whole answer was read.
  Closed,               ///< Answered "not run".
  Unknown               ///< An upstream may have run it.
};

} // namespace ebony::idempotency

#endif
