#include "idempotency/answermatcher.h"

#include <utility>

namespace ebony::idempotency {

AnswerMatcher::AnswerMatcher(base::RequestId AwaitedRequest)
    : AwaitedRequest_(std::move(AwaitedRequest)) {}

AnswerMatcher::MatchState
AnswerMatcher::receiveHead(const base::RequestId &Answered,
                           std::optional<std::uint64_t> BodyBytes) {
  if (State_ != MatchState::Incomplete || HeadReceived_ ||
      Answered != AwaitedRequest_)
    return State_ = MatchState::Mismatch;
  HeadReceived_ = true;
  ExpectedBodyBytes_ = BodyBytes;
  return completeIfReceived();
}

AnswerMatcher::MatchState AnswerMatcher::receiveBody(std::uint64_t Bytes) {
  // Bytes past the announced length belong to an answer to no pending request.
  if (State_ != MatchState::Incomplete || !HeadReceived_)
    return State_ = MatchState::Mismatch;
  ReceivedBodyBytes_ += Bytes;
  if (ExpectedBodyBytes_ && ReceivedBodyBytes_ > *ExpectedBodyBytes_)
    return State_ = MatchState::Mismatch;
  return completeIfReceived();
}

AnswerMatcher::MatchState AnswerMatcher::receiveBodyEnd() {
  if (State_ == MatchState::Incomplete && HeadReceived_ && !ExpectedBodyBytes_)
    return State_ = MatchState::Complete;
  return State_ = MatchState::Mismatch;
}

AnswerMatcher::MatchState AnswerMatcher::recordClosed() {
  if (State_ == MatchState::Incomplete)
    State_ = MatchState::Truncated;
  return State_;
}

AnswerMatcher::MatchState AnswerMatcher::completeIfReceived() {
  if (ExpectedBodyBytes_ && ReceivedBodyBytes_ == *ExpectedBodyBytes_)
    State_ = MatchState::Complete;
  return State_;
}

} // namespace ebony::idempotency
