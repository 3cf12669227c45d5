#include "idempotency/attempttracker.h"

namespace ebony::idempotency {

void AttemptTracker::beginAttempt() {
  --AttemptsLeft_;
  State_ = State::Connecting;
}

void AttemptTracker::recordFailureBeforeSending() {
  if (State_ == State::Connecting)
    State_ = State::Unsent;
}

void AttemptTracker::recordRefusal() {
  if (State_ == State::Sent)
    State_ = State::Unsent;
}

void AttemptTracker::recordFailure() {
  if (State_ == State::Sent)
    State_ = State::Lost;
  else
    recordFailureBeforeSending();
}

Outcome AttemptTracker::outcome() const {
  switch (State_) {
  case State::Unsent:
  case State::Connecting:
    return Outcome::NotRun;
  case State::Answered:
    return Outcome::Complete;
  case State::Sent:
  case State::Lost:
    break;
  }
  return Outcome::Unknown;
}

} // namespace ebony::idempotency
