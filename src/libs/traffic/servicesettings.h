#ifndef EBONY_TRAFFIC_SERVICESETTINGS_H
#define EBONY_TRAFFIC_SERVICESETTINGS_H

#include "base/name.h"
#include "base/time.h"

namespace ebony::traffic {

/// Configuration of one service.
struct ServiceSettings {
  base::ServiceName Name_;
  /// Time for which an upstream stays cold after its start.
  base::Duration ColdDuration_{};
  /// Configured requests per second for a cold upstream. ColdBound
  /// tells by how much they may be exceeded.
  double ColdRatePerSecond_ = 0;

  friend bool operator==(const ServiceSettings &,
                         const ServiceSettings &) = default;
};

} // namespace ebony::traffic

#endif
