#include "traffic/attempttally.h"

#include <utility>

namespace ebony::traffic {

namespace {

// Number of attempts without anything sent after which a request fails. They
// are not charged to the retry budget.
constexpr int MaxUnsent = 3;

bool mayHaveExecuted(AttemptResult Result) {
  return Result == AttemptResult::ConnectionLost ||
         Result == AttemptResult::TimedOut || Result == AttemptResult::Failed;
}

} // namespace

void AttemptTally::recordResult(AttemptResult Result) {
  if (wasNothingSent(Result))
    ++UnsentCount_;
  else
    ++Attempts_;
  MayHaveExecuted_ = MayHaveExecuted_ || mayHaveExecuted(Result);
}

bool AttemptTally::mayRetry(const Job &Request, const RouteSettings &Route,
                            AttemptResult Result, bool HasUnbufferedBody,
                            base::TimePoint Now) {
  if (wasNothingSent(Result))
    return UnsentCount_ < MaxUnsent;
  if (!wasRejected(Result) && Request.RetryPolicy_ != RetryPolicy::Idempotent)
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
