#include "traffic/attempttally.h"

#include <utility>

namespace ebony::traffic {

namespace {

// Number of unreachable upstreams after which a request fails. Nothing was
// sent to them, so they are not charged to the retry budget.
constexpr int MaxUnreachable = 3;

bool mayHaveExecuted(AttemptResult Result) {
  return Result == AttemptResult::ConnectionLost ||
         Result == AttemptResult::TimedOut || Result == AttemptResult::Failed;
}

} // namespace

void AttemptTally::recordResult(AttemptResult Result) {
  if (Result == AttemptResult::Unreachable)
    ++UnreachableCount_;
  else
    ++Attempts_;
  MayHaveExecuted_ = MayHaveExecuted_ || mayHaveExecuted(Result);
}

bool AttemptTally::mayRetry(const Job &Request, const RouteSettings &Route,
                            AttemptResult Result, bool HasUnbufferedBody,
                            base::TimePoint Now) {
  if (Result == AttemptResult::Unreachable)
    return UnreachableCount_ < MaxUnreachable;
  const bool WasNotExecuted =
      Result == AttemptResult::Shed || Result == AttemptResult::Misdirected;
  if (!WasNotExecuted && Request.RetryPolicy_ != RetryPolicy::Idempotent)
    return false;
  if (Attempts_ >= Route.MaxAttempts_ || HasUnbufferedBody ||
      Now >= Request.Deadline_)
    return false;
  return std::exchange(IsRetryReserved_, false) ||
         Budget_.acquire(Request.Service_, Now);
}

bool AttemptTally::reserveRetry(const Job &Request, const RouteSettings &Route,
                                bool HasUnbufferedBody, base::TimePoint Now) {
  if (HasUnbufferedBody || Attempts_ + 1 >= Route.MaxAttempts_ ||
      !Dispatcher_.canRetry(Request, Now))
    return false;
  IsRetryReserved_ = Budget_.acquire(Request.Service_, Now);
  return IsRetryReserved_;
}

unsigned AttemptTally::failureStatus(bool IsTimeout) const {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned BadGateway = 502;
  constexpr unsigned GatewayTimeout = 504;
  if (!MayHaveExecuted_)
    return Unavailable;
  return IsTimeout ? GatewayTimeout : BadGateway;
}

} // namespace ebony::traffic
