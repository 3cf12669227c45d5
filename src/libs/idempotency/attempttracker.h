#ifndef EBONY_IDEMPOTENCY_ATTEMPTTRACKER_H
#define EBONY_IDEMPOTENCY_ATTEMPTTRACKER_H

#include "idempotency/outcome.h"

#include <cstdint>

namespace ebony::idempotency {

/// Tracks the attempts to send one submission to upstreams, and decides whether
/// another attempt is safe.
class AttemptTracker {
public:
  explicit AttemptTracker(std::uint32_t MaxAttempts)
      : AttemptsLeft_(MaxAttempts) {}

  /// Returns true if the submission may be sent to an upstream now.
  bool canAttempt() const {
    return State_ == State::Unsent && AttemptsLeft_ > 0;
  }

  /// Starts an attempt by opening a connection or reusing an idle one. Requires
  /// canAttempt().
  void beginAttempt();

  /// Records that a byte of the submission may have been sent.
  void recordSent() { State_ = State::Sent; }

  /// Records that the attempt ended before any byte was sent, because the
  /// connection failed or this VM refused the submission.
  void recordFailureBeforeSending();

  /// Records that the upstream answered that it did not run the submission.
  void recordRefusal();

  /// Records that the complete answer of the upstream was received.
  void recordCompleteAnswer() { State_ = State::Answered; }

  /// Records that the connection failed, or that the answer was late, truncated
  /// or for another request.
  void recordFailure();

  /// Returns the outcome to report if no other attempt follows.
  Outcome outcome() const;

private:
  enum class State : std::uint8_t { Unsent, Connecting, Sent, Answered, Lost };

  std::uint32_t AttemptsLeft_;
  State State_ = State::Unsent;
};

} // namespace ebony::idempotency

#endif
