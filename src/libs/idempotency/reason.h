#ifndef EBONY_IDEMPOTENCY_REASON_H
#define EBONY_IDEMPOTENCY_REASON_H

#include <cstdint>
#include <string_view>

namespace ebony::idempotency {

/// Why a submission is answered without a run.
enum class Reason : std::uint8_t {
  None,
  OwnerGone,          ///< The VM that owned it has ended without a successor.
  NotOwner,           ///< It was forwarded to a VM that does not own it.
  SessionUnknown,     ///< The session or key is not stored and accepts no first
                      ///< use.
  CounterBelowFloor,  ///< The submission's number is below those still stored.
  RegistryFull,       ///< The registry has no room for another submission.
  KeyReused,          ///< The key was used with a different request before.
  KeyClosed,          ///< The key was answered "not run" and is not reopened.
  HandoverInProgress, ///< The registry is being handed over to a successor.
  RunningAtPredecessor, ///< The stopping predecessor still runs it.
  AnswerNotStored,   ///< It ran, but its answer was too large or was evicted.
  RunOutcomeUnknown, ///< Its upstream may have run it, but the answer was lost.
  ClaimUnresolved    ///< The claim was not resolved before its deadline.
};

/// Returns a message for the caller that says what to do next.
std::string_view message(Reason Cause);

} // namespace ebony::idempotency

#endif
