#ifndef EBONY_TRAFFIC_RETURNADVICE_H
#define EBONY_TRAFFIC_RETURNADVICE_H

#include "base/randomengine.h"
#include "base/time.h"

namespace ebony::traffic {

/// Tells refused callers when to come back.
///
/// Load pattern: more requests than slots for several seconds. Callers who come
/// back within the peak are refused once more, and each comes back once or
/// twice only; callers who are refused for a moment's crowd are served at once
/// when they come back soon.
class ReturnAdvice {
public:
  explicit ReturnAdvice(base::RandomEngine Random) : Random_(Random) {}

  /// Notes the decision about a new request.
  void note(bool IsRefused, base::TimePoint Now);

  /// Time after which to come back. \p Surplus is the time by which the
  /// foreseen answer is late, \p Left what the caller still has.
  base::Duration advise(base::Duration Surplus, base::Duration Left,
                        base::TimePoint Now);

  /// Smoothed share of requests that were refused.
  double refusedShare(base::TimePoint Now) const;

private:
  base::RandomEngine Random_;
  double Refused_ = 0;
  double All_ = 0;
  base::TimePoint At_{};
};

} // namespace ebony::traffic

#endif
