#ifndef EBONY_IDEMPOTENCY_REASON_H
#define EBONY_IDEMPOTENCY_REASON_H

#include <cstdint>
#include <string_view>

namespace ebony::idempotency {

/// Why a submission is answered without a run.
enum class Reason : std::uint8_t {
  None,
  OwnerGone,          ///< The VM that remembers it is gone.
  NotOwner,           ///< It was passed to a VM that does not hold its memory.
  SessionUnknown,     ///< The session is too old to be known.
  CounterBelowFloor,  ///< The submission's number is below those remembered.
  RegistryFull,       ///< No room to remember another submission.
  KeyReused,          ///< The key came with another request before.
  KeyClosed,          ///< The key was answered "not run" for good.
  HandoverInProgress, ///< The memory is on its way to a successor.
  RunningAtPredecessor, ///< The predecessor that stops still runs it.
  AnswerNotStored,      ///< It ran; its answer was too large or is too old.
  RunOutcomeUnknown,    ///< Its upstream may have run it; the answer was lost.
  ClaimUnresolved       ///< The table service did not settle the claim in time.
};

/// Full sentence for the caller that says what to do next.
std::string_view message(Reason Cause);

} // namespace ebony::idempotency

#endif
