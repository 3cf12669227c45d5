#ifndef EBONY_IDEMPOTENCY_ATTEMPTTRACKER_H
#define EBONY_IDEMPOTENCY_ATTEMPTTRACKER_H

#include "idempotency/outcome.h"

#include <cstdint>

namespace ebony::idempotency {

/// Follows the tries of one submission at upstreams, and says whether another
/// may follow.
class AttemptTracker {
public:
  explicit AttemptTracker(std::uint32_t MaxAttempts)
      : AttemptsLeft_(MaxAttempts) {}

  /// True when the submission may be sent to an upstream now.
  bool canAttempt() const {
    return State_ == State::Unsent && AttemptsLeft_ > 0;
  }

  /// A try begins: a connection is opened or taken. Call it after canAttempt().
  void beginAttempt();

  /// One byte of the submission may have left.
  void recordSent() { State_ = State::Sent; }

  /// The try ended before any byte left: connect failed, or our own refusal.
  void recordFailureBeforeSending();

  /// The upstream itself answered that it did not run the submission.
  void recordRefusal();

  /// The upstream's whole answer was read.
  void recordCompleteAnswer() { State_ = State::Answered; }

  /// The connection failed, or the answer was late, cut off or another's.
  void recordFailure();

  /// What to tell if no other try follows.
  Outcome outcome() const;

private:
  enum class State : std::uint8_t { Unsent, Connecting, Sent, Answered, Lost };

  std::uint32_t AttemptsLeft_;
  State State_ = State::Unsent;
};

} // namespace ebony::idempotency

#endif
