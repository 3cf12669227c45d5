#include "traffic/upstreamstate.h"

#include <cmath>

namespace ebony::traffic {

namespace {

// Time in which the distance of a slowness from 1 falls to a third without
// answers: long, since most of it is a lasting difference between upstreams.
constexpr double FadeSeconds = 30.0;

} // namespace

double UpstreamState::latencyFactorAt(base::TimePoint Now) const {
  const double Seconds = base::toSeconds(Now - LatencyFactorAt_);
  return 1.0 + (LatencyFactor_ - 1.0) * std::exp(-Seconds / FadeSeconds);
}

} // namespace ebony::traffic
