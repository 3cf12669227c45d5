#include "traffic/attempttally.h"

#include <utility>

namespace ebony::traffic {

namespace {

// Upstreams that a request may fail to reach before it is given up; nothing
// was sent to them, so they count towards no budget.
constexpr int MostUnreachable = 3;

bool ranPerhaps(AttemptResult Result) {
  return Result == AttemptResult::Lost || Result == AttemptResult::Silent ||
         Result == AttemptResult::Failed;
}

} // namespace

void AttemptTally::note(AttemptResult Result) {
  if (Result == AttemptResult::Unreachable)
    ++Unreachable_;
  else
    ++Attempts_;
  MayHaveRun_ = MayHaveRun_ || ranPerhaps(Result);
}

bool AttemptTally::mayRepeat(const Job &One, const RouteTerms &Route,
                             AttemptResult Result, bool HasMoreBody,
                             base::TimePoint Now) {
  if (Result == AttemptResult::Unreachable)
    return Unreachable_ < MostUnreachable;
  const bool DidNotRun =
      Result == AttemptResult::Shed || Result == AttemptResult::Misdirected;
  if (!DidNotRun && One.Repeats_ != RepeatRule::Idempotent)
    return false;
  if (Attempts_ >= Route.MaxAttempts_ || HasMoreBody || Now >= One.Limit_)
    return false;
  return std::exchange(IsRepeatPaid_, false) || Budget_.take(One.Service_, Now);
}

bool AttemptTally::mayGiveUp(const Job &One, const RouteTerms &Route,
                             bool HasMoreBody, base::TimePoint Now) {
  if (HasMoreBody || Attempts_ + 1 >= Route.MaxAttempts_ ||
      !Upstreams_.canRepeat(One, Now))
    return false;
  IsRepeatPaid_ = Budget_.take(One.Service_, Now);
  return IsRepeatPaid_;
}

unsigned AttemptTally::failureStatus(bool IsLate) const {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned BadGateway = 502;
  constexpr unsigned GatewayTimeout = 504;
  if (!MayHaveRun_)
    return Unavailable;
  return IsLate ? GatewayTimeout : BadGateway;
}

} // namespace ebony::traffic
