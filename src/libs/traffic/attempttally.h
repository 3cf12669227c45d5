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
  /// Retries are charged to \p Budget. In the functions below,
  /// \p HasUnbufferedBody tells that part of the request body is not buffered,
  /// so that the request cannot be sent again.
  AttemptTally(RetryBudget &Budget, Dispatcher &RequestDispatcher)
      : Budget_(Budget), Dispatcher_(RequestDispatcher) {}

  /// Records how an attempt ended.
  void recordResult(AttemptResult Result);

  /// Returns whether the request may be retried after \p Result. A retry is
  /// charged to the budget, except if nothing was sent.
  bool mayRetry(const Job &Request, const RouteSettings &Route,
                AttemptResult Result, bool HasUnbufferedBody,
                base::TimePoint Now);

  /// Returns whether an upstream that does not respond may be abandoned for
  /// another one. If so, the retry has been charged to the budget, and the next
  /// mayRetry() does not charge it again.
  bool reserveRetry(const Job &Request, const RouteSettings &Route,
                    bool HasUnbufferedBody, base::TimePoint Now);

  /// Returns the HTTP status for a request that failed or was refused: 503 if
  /// no attempt can have executed it, else 504 if \p IsTimeout and 502 if not.
  unsigned failureStatus(bool IsTimeout) const;

  /// Returns the number of attempts that reached an upstream.
  int attempts() const { return Attempts_; }
  /// Returns whether an attempt so far may have executed the request.
  bool mayHaveBeenExecuted() const { return MayHaveExecuted_; }

private:
  RetryBudget &Budget_;
  Dispatcher &Dispatcher_;
  int Attempts_ = 0;
  int UnsentCount_ = 0;
  bool MayHaveExecuted_ = false;
  /// Whether the next attempt has already been charged to the budget.
  bool IsRetryReserved_ = false;
};

} // namespace ebony::traffic

#endif
