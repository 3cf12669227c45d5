#ifndef EBONY_TRAFFIC_WORKTIMES_H
#define EBONY_TRAFFIC_WORKTIMES_H

#include "base/time.h"

namespace ebony::traffic {

/// Smoothed processing times of a route's requests at upstreams that have the
/// object cached and at those that do not.
class WorkTimes {
public:
  /// \p Objective is the route's latency objective, used for the initial
  /// estimates.
  explicit WorkTimes(base::Duration Objective);

  base::Duration expected(bool IsObjectCached) const {
    return IsObjectCached ? CachedTime_ : UncachedTime_;
  }

  /// Returns whether a response that took \p Elapsed is more likely one from
  /// the cache. \p LatencyFactor is the upstream's ratio of measured to
  /// expected time.
  bool wasCached(base::Duration Elapsed, double LatencyFactor) const;

  /// Updates the estimate from a response. \p LatencyFactor is the upstream's
  /// ratio of measured to expected time.
  void recordResponse(bool IsObjectCached, base::Duration Elapsed,
                      double LatencyFactor);

private:
  base::Duration CachedTime_;
  base::Duration UncachedTime_;
};

} // namespace ebony::traffic

#endif
