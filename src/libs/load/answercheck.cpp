#include "load/answercheck.h"

#include "standin/jsonfields.h"

namespace ebony::load {

EchoCheckResult checkEcho(const IncomingAnswer &Answer,
                          const ExpectedEcho &Expected) {
  base::Findings Problems;
  standin::JsonFields Echo(
      standin::parseObject(Answer.Body_, "answer", Problems), "answer", "$",
      Problems);
  if (!Problems.empty())
    return EchoCheckResult::Truncated;
  // A stored answer that is replayed to a retry has the request ID of the
  // first attempt.
  const bool HasExpectedId =
      !Expected.IsFirstAttempt_ || Echo.text("requestId") == Answer.RequestId_;
  const bool IsMatching =
      HasExpectedId && Echo.text("customer") == Expected.Customer_ &&
      Echo.text("target").ends_with(Expected.TargetSuffix_) &&
      Echo.text("bodySha256") == Answer.SentSha256_;
  return IsMatching && Problems.empty() ? EchoCheckResult::Matching
                                        : EchoCheckResult::Mismatched;
}

Outcome outcomeOf(const IncomingAnswer &Answer) {
  constexpr int FirstSuccess = 200;
  constexpr int LastSuccess = 299;
  if (Answer.State_ == AnswerState::NotSent)
    return Outcome::NoVm;
  if (Answer.State_ != AnswerState::Complete)
    return Outcome::Unknown;
  if (Answer.Status_ >= FirstSuccess && Answer.Status_ <= LastSuccess)
    return Outcome::Served;
  if (Answer.Outcome_ == "not-run")
    return Outcome::NotRun;
  if (Answer.Outcome_ == "complete")
    return Outcome::Complete;
  return Outcome::Unknown;
}

} // namespace ebony::load
