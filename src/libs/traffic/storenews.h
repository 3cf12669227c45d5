#ifndef EBONY_TRAFFIC_STORENEWS_H
#define EBONY_TRAFFIC_STORENEWS_H

#include "base/time.h"

#include <algorithm>

namespace ebony::traffic {

/// When this VM last had news of the tables that tell which upstreams may be
/// used, from the store or from a VM that reads it.
class StoreNews {
public:
  /// Records complete news of the evacuated zones.
  void recordEvacuations(base::TimePoint Now) { Evacuations_ = Now; }
  /// Records complete news of the upstreams' entries.
  void recordUpstreams(base::TimePoint Now) { Upstreams_ = Now; }

  /// Returns the age of the older of both.
  base::Duration age(base::TimePoint Now) const {
    return Now - std::min(Evacuations_, Upstreams_);
  }

private:
  base::TimePoint Evacuations_{std::chrono::hours(-1)};
  base::TimePoint Upstreams_{std::chrono::hours(-1)};
};

} // namespace ebony::traffic

#endif
