#ifndef EBONY_TRAFFIC_RETRYAFTERADVISOR_H
#define EBONY_TRAFFIC_RETRYAFTERADVISOR_H

#include "base/randomengine.h"
#include "base/time.h"

namespace ebony::traffic {

/// Tells refused callers when to come back.
///
/// Load pattern: more requests than slots for several seconds. Callers who come
/// back within the peak are refused once more, and each comes back once or
/// twice only; callers who are refused for a moment's crowd are served at once
/// when they come back soon.
class RetryAfterAdvisor {
public:
  explicit RetryAfterAdvisor(base::RandomEngine Random) : Random_(Random) {}

  /// Notes the decision about a new request.
  void recordDecision(bool IsRefused, base::TimePoint Now);

  /// Time after which to come back. \p Surplus is the time by which the
  /// foreseen answer is late, \p Left what the caller still has.
  base::Duration computeRetryAfter(base::Duration Surplus, base::Duration Left,
                                   base::TimePoint Now);

  /// Smoothed share of requests that were refused.
  double refusedShare(base::TimePoint Now) const;

private:
  base::RandomEngine Random_;
  double Refused_ = 0;
  double Total_ = 0;
  base::TimePoint UpdatedAt_{};
};

} // namespace ebony::traffic

#endif
