#ifndef EBONY_TRAFFIC_RETURNADVICE_H
#define EBONY_TRAFFIC_RETURNADVICE_H

#include "base/randomengine.h"
#include "base/time.h"

namespace ebony::traffic {

/// Computes the time after which a refused caller should retry.
///
/// Load pattern: more requests than slots for several seconds. Callers retry
/// only once or twice and are refused again if they retry during the overload.
/// After a short burst, callers that retry soon are served at once.
class ReturnAdvice {
public:
  explicit ReturnAdvice(base::RandomEngine Random) : Random_(Random) {}

  /// Records the decision about a new request.
  void recordDecision(bool IsRefused, base::TimePoint Now);

  /// Returns the time after which to retry. \p Excess is the time by which the
  /// queue has to shrink before a retry is useful, \p TimeLeft the time to the
  /// caller's deadline.
  base::Duration computeRetryAfter(base::Duration Excess,
                                   base::Duration TimeLeft,
                                   base::TimePoint Now);

  /// Returns the smoothed fraction of refused requests.
  double refusedShare(base::TimePoint Now) const;

private:
  base::RandomEngine Random_;
  double Refused_ = 0;
  double Total_ = 0;
  base::TimePoint UpdatedAt_{};
};

} // namespace ebony::traffic

#endif
