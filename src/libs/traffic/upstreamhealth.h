#ifndef EBONY_TRAFFIC_UPSTREAMHEALTH_H
#define EBONY_TRAFFIC_UPSTREAMHEALTH_H

#include "traffic/attemptresult.h"
#include "traffic/upstreamstate.h"

namespace ebony::traffic {

/// Ejects upstreams by the results of callers' requests (passive health
/// checks). Upstreams are not probed, and the health status they report is not
/// used.
///
/// Load pattern: upstreams that crash, stop responding, shed or fail part of
/// their requests while their own health check succeeds.
class UpstreamHealth {
public:
  /// Records the result of one attempt. Returns true if it ejects the upstream.
  bool recordResult(UpstreamState &Upstream, AttemptResult Result,
                    base::TimePoint Now) const;

  /// Discards the failures in a row: not the upstream caused them.
  static void forgetFailures(UpstreamState &Upstream);
};

} // namespace ebony::traffic

#endif
