#include "traffic/worktimes.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

// Initial estimates as fractions of the objective. Operators set objectives
// that an upstream meets with a margin if it has the object cached and misses
// if not.
constexpr double InitialCachedFraction = 0.5;
constexpr double InitialUncachedFraction = 1.2;

// Weight of one response; about 20 responses replace the initial estimate.
constexpr double ResponseWeight = 0.05;

} // namespace

WorkTimes::WorkTimes(base::Duration Objective)
    : CachedTime_(base::fromSeconds(base::toSeconds(Objective) *
                                    InitialCachedFraction)),
      UncachedTime_(base::fromSeconds(base::toSeconds(Objective) *
                                      InitialUncachedFraction)) {}

bool WorkTimes::wasCached(base::Duration Elapsed, double LatencyFactor) const {
  const double Normalized =
      base::toSeconds(Elapsed) / std::max(LatencyFactor, 0.1);
  // The geometric mean is as many times the one as it is below the other.
  return Normalized < std::sqrt(base::toSeconds(CachedTime_) *
                                base::toSeconds(UncachedTime_));
}

void WorkTimes::recordResponse(bool IsObjectCached, base::Duration Elapsed,
                               double LatencyFactor) {
  base::Duration &Estimate = IsObjectCached ? CachedTime_ : UncachedTime_;
  const double Normalized =
      base::toSeconds(Elapsed) / std::max(LatencyFactor, 0.1);
  Estimate =
      base::fromSeconds(base::toSeconds(Estimate) * (1 - ResponseWeight) +
                        Normalized * ResponseWeight);
}

} // namespace ebony::traffic
