#ifndef EBONY_TRAFFIC_ATTEMPTTALLY_H
#define EBONY_TRAFFIC_ATTEMPTTALLY_H

#include "traffic/attemptresult.h"
#include "traffic/dispatcher.h"
#include "traffic/retrybudget.h"
#include "traffic/routesettings.h"

namespace ebony::traffic {

/// Tracks the attempts at one request, decides whether it may be retried, and
/// chooses the status for the caller if all attempts fail.
///
/// Load pattern: upstreams that reset connections, stop responding or shed
/// requests while every request could be retried elsewhere.
class AttemptTally {
public:
  /// Retries are charged to \p Budget. In the functions below, \p HasMoreBody
  /// says that part of the request body is not buffered, so that the request
  /// cannot be sent again.
  AttemptTally(RetryBudget &Budget, Dispatcher &RequestDispatcher)
      : Budget_(Budget), Dispatcher_(RequestDispatcher) {}

  /// Records how an attempt ended.
  void recordResult(AttemptResult Result);

  /// Returns whether the request may be retried after \p Result. A retry is
  /// charged to the budget, except after an upstream that was unreachable.
  bool mayRetry(const Job &Request, const RouteSettings &Route,
                AttemptResult Result, bool HasMoreBody, base::TimePoint Now);

  /// Returns whether an upstream that does not respond may be abandoned for
  /// another one. Reserves the retry by charging it to the budget now.
  bool reserveRetry(const Job &Request, const RouteSettings &Route,
                    bool HasMoreBody, base::TimePoint Now);

  /// Returns the HTTP status for a request that failed or was refused after
  /// its attempts. 503 says that it was not executed. \p IsLate selects 504
  /// over 502 for one that may have been.
  unsigned failureStatus(bool IsLate) const;

  /// Returns the number of attempts that reached an upstream.
  int attempts() const { return Attempts_; }
  bool mayHaveRun() const { return MayHaveRun_; }

private:
  RetryBudget &Budget_;
  Dispatcher &Dispatcher_;
  int Attempts_ = 0;
  int UnreachableCount_ = 0;
  bool MayHaveRun_ = false;
  /// Whether the next attempt has already been charged to the budget.
  bool IsRetryReserved_ = false;
};

} // namespace ebony::traffic

#endif
