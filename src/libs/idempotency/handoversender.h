#ifndef EBONY_IDEMPOTENCY_HANDOVERSENDER_H
#define EBONY_IDEMPOTENCY_HANDOVERSENDER_H

#include "idempotency/handover.h"

#include <optional>

namespace ebony::idempotency {

/// Ensures that at most one successor can accept the registry of a stopping VM.
class HandoverSender {
public:
  enum class State : std::uint8_t {
    Idle,    ///< No successor can have accepted the handover.
    Offered, ///< The successor may have accepted it; only that one may be asked
             ///< again.
    Accepted ///< The successor has confirmed that it accepted.
  };

  /// Returns true if the handover may be sent to \p Successor now. From then on
  /// no other successor may be asked until this one is known not to have
  /// accepted.
  bool tryOffer(const SubmissionOwner &Successor);

  /// Records that no byte of the last offer was sent.
  void recordNotSent();

  /// Records the reply to the offer.
  void recordReply(HandoverReply Reply);

  State state() const { return State_; }
  const std::optional<SubmissionOwner> &successor() const { return Successor_; }

private:
  State State_ = State::Idle;
  bool Resent_ = false;
  std::optional<SubmissionOwner> Successor_;
};

} // namespace ebony::idempotency

#endif
