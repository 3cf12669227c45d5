#ifndef EBONY_TRAFFIC_OUTLIERDETECTOR_H
#define EBONY_TRAFFIC_OUTLIERDETECTOR_H

#include "traffic/attemptresult.h"
#include "traffic/upstreamstate.h"

namespace ebony::traffic {

/// Judges upstreams by how callers' requests end there; nothing is probed and
/// what upstreams say of their health is not asked.
///
/// Load pattern: upstreams that crash, fall silent, shed or fail a part of
/// their requests while their health answer is good.
class OutlierDetector {
public:
  /// Learns from one attempt. True when the upstream is ejected by it.
  bool recordResult(UpstreamState &Upstream, AttemptResult Result,
                    base::TimePoint Now) const;
};

} // namespace ebony::traffic

#endif
