#ifndef EBONY_TRAFFIC_REQUESTATTEMPTS_H
#define EBONY_TRAFFIC_REQUESTATTEMPTS_H

#include "traffic/attemptresult.h"
#include "traffic/dispatcher.h"
#include "traffic/retrybudget.h"
#include "traffic/routesettings.h"

namespace ebony::traffic {

/// What the attempts at one request came to, whether another may follow, and
/// what the caller may be told.
///
/// Load pattern: upstreams that reset, fall silent or turn requests away while
/// every request could be sent elsewhere.
class RequestAttempts {
public:
  /// \p HasMoreBody says that part of the request is not kept, so that it
  /// cannot be sent again.
  RequestAttempts(RetryBudget &Budget, Dispatcher &Upstreams)
      : Budget_(Budget), Upstreams_(Upstreams) {}

  /// Notes how an attempt ended.
  void recordResult(AttemptResult Result);

  /// Whether another attempt follows one that ended with \p Result; charges the
  /// budget for it.
  bool mayRetry(const Job &One, const RouteSettings &Route,
                AttemptResult Result, bool HasMoreBody, base::TimePoint Now);

  /// Whether a silent upstream may be left: only for a repeat that is sure to
  /// follow, which is charged to the budget now.
  bool reserveRetry(const Job &One, const RouteSettings &Route,
                    bool HasMoreBody, base::TimePoint Now);

  /// Status for a caller whose last attempt ended with \p Result, or who was
  /// refused after attempts. 503 says that the request did not run.
  unsigned failureStatus(bool IsLate) const;

  /// Attempts that reached an upstream.
  int attempts() const { return Attempts_; }
  bool mayHaveRun() const { return MayHaveRun_; }

private:
  RetryBudget &Budget_;
  Dispatcher &Upstreams_;
  int Attempts_ = 0;
  int Unreachable_ = 0;
  bool MayHaveRun_ = false;
  /// Whether the budget was charged for the next attempt already.
  bool IsRetryReserved_ = false;
};

} // namespace ebony::traffic

#endif
