#include "idempotency/handoversender.h"

namespace ebony::idempotency {

bool HandoverSender::tryOffer(const SubmissionOwner &Successor) {
  if (State_ == State::Accepted)
    return false;
  if (State_ == State::Offered) {
    if (*Successor_ != Successor)
      return false;
    return Resent_ = true;
  }
  State_ = State::Offered;
  Successor_ = Successor;
  return true;
}

void HandoverSender::recordNotSent() {
  // An earlier copy of the offer may still reach the successor.
  if (State_ != State::Offered || Resent_)
    return;
  State_ = State::Idle;
  Successor_.reset();
}

void HandoverSender::recordReply(HandoverReply Reply) {
  if (State_ != State::Offered)
    return;
  if (Reply == HandoverReply::Accepted) {
    State_ = State::Accepted;
    return;
  }
  // An incarnation that received an earlier copy may have accepted it, run
  // submissions and ended. Another successor would run the same submissions
  // again.
  if (Reply == HandoverReply::NotAddressee && Resent_)
    return;
  State_ = State::Idle;
  Resent_ = false;
  Successor_.reset();
}

} // namespace ebony::idempotency
