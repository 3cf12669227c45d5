#ifndef EBONY_IDEMPOTENCY_HANDOVERSENDER_H
#define EBONY_IDEMPOTENCY_HANDOVERSENDER_H

#include "idempotency/handover.h"

#include <optional>

namespace ebony::idempotency {

/// Keeps a stopping VM from offering its memory to two successors.
class HandoverSender {
public:
  enum class State : std::uint8_t {
    Idle,    ///< No successor can have accepted.
    Offered, ///< The successor may have accepted; only it may be asked again.
    Accepted ///< The successor has said so.
  };

  /// True when the memory may be sent to \p Successor now; it is bound to it
  /// from then on.
  bool tryOffer(const SubmissionOwner &Successor);

  /// No byte of the last offer has left.
  void recordNotSent();

  /// The answer to the offer was read.
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
