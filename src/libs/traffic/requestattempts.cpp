#include "traffic/requestattempts.h"

#include <utility>

namespace ebony::traffic {

namespace {

// Upstreams that a request may fail to reach before it is given up; nothing
// was sent to them, so they count towards no budget.
constexpr int MostUnreachable = 3;

bool mayHaveExecuted(AttemptResult Result) {
  return Result == AttemptResult::ConnectionLost ||
         Result == AttemptResult::TimedOut || Result == AttemptResult::Failed;
}

} // namespace

void RequestAttempts::recordResult(AttemptResult Result) {
  if (Result == AttemptResult::Unreachable)
    ++Unreachable_;
  else
    ++Attempts_;
  MayHaveRun_ = MayHaveRun_ || mayHaveExecuted(Result);
}

bool RequestAttempts::mayRetry(const Job &One, const RouteSettings &Route,
                               AttemptResult Result, bool HasMoreBody,
                               base::TimePoint Now) {
  if (Result == AttemptResult::Unreachable)
    return Unreachable_ < MostUnreachable;
  const bool DidNotRun =
      Result == AttemptResult::Shed || Result == AttemptResult::Misdirected;
  if (!DidNotRun && One.RetryPolicy_ != RetryPolicy::Idempotent)
    return false;
  if (Attempts_ >= Route.MaxAttempts_ || HasMoreBody || Now >= One.Deadline_)
    return false;
  return std::exchange(IsRetryReserved_, false) ||
         Budget_.acquire(One.Service_, Now);
}

bool RequestAttempts::reserveRetry(const Job &One, const RouteSettings &Route,
                                   bool HasMoreBody, base::TimePoint Now) {
  if (HasMoreBody || Attempts_ + 1 >= Route.MaxAttempts_ ||
      !Upstreams_.canRetry(One, Now))
    return false;
  IsRetryReserved_ = Budget_.acquire(One.Service_, Now);
  return IsRetryReserved_;
}

unsigned RequestAttempts::failureStatus(bool IsLate) const {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned BadGateway = 502;
  constexpr unsigned GatewayTimeout = 504;
  if (!MayHaveRun_)
    return Unavailable;
  return IsLate ? GatewayTimeout : BadGateway;
}

} // namespace ebony::traffic
