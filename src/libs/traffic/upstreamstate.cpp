#include "traffic/upstreamstate.h"

#include <cmath>

namespace ebony::traffic {

namespace {

// Time constant of the latency factor's decay towards 1 without responses. It
// is long because most of the difference between upstreams is permanent.
constexpr double DecaySeconds = 30.0;

} // namespace

double UpstreamState::latencyFactorAt(base::TimePoint Now) const {
  const double Seconds = base::toSeconds(Now - LatencyFactorUpdatedAt_);
  return 1.0 + (LatencyFactor_ - 1.0) * std::exp(-Seconds / DecaySeconds);
}

} // namespace ebony::traffic
