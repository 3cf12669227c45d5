#ifndef EBONY_QUOTA_EXCHANGEPOLICY_H
#define EBONY_QUOTA_EXCHANGEPOLICY_H

#include "base/time.h"

namespace ebony::quota {

/// Parameters that determine when a VM requests quota and how much it reserves
/// for itself.
struct ExchangePolicy {
  /// Time that the tokens must last; a VM requests quota when they do not.
  base::Duration Lookahead_ = std::chrono::milliseconds(300);
  /// Time for which a VM reserves tokens when a peer requests some.
  base::Duration ReserveLookahead_ = std::chrono::milliseconds(60);
  /// Target rate as a multiple of the estimated demand.
  double TargetRateFactor_ = 1.15;
  /// Rate reserved when a peer requests quota, as a multiple of recent demand.
  double ReserveRateFactor_ = 1.03;
  /// Target tokens above the mean, in standard deviations of the arrivals.
  double TargetDeviations_ = 2.0;
  /// Maximum time that a request may wait for requested quota.
  base::Duration MaxWait_ = std::chrono::milliseconds(100);
  /// Pause before the next request to a peer that has just granted quota.
  base::Duration PauseAfterGrant_ = std::chrono::milliseconds(20);
  /// Backoff limits for a peer that had no spare quota or did not answer.
  base::Duration MinBackoff_ = std::chrono::milliseconds(30);
  base::Duration MaxBackoff_ = std::chrono::milliseconds(500);
  /// A request may wait for quota if a peer's backoff ends within this time.
  base::Duration RetryHorizon_ = std::chrono::milliseconds(60);
  /// Maximum number of peers with a pending request.
  int MaxPendingRequests_ = 3;
  /// The same limit while requests wait for tokens.
  int MaxPendingWhileWaiting_ = 6;
};

} // namespace ebony::quota

#endif
