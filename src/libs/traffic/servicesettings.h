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
  /// Requests per second that a cold upstream may get; see DispatcherSettings
  /// for what is allowed beyond.
  double ColdRatePerSecond_ = 0;

  friend bool operator==(const ServiceSettings &,
                         const ServiceSettings &) = default;
};

} // namespace ebony::traffic

#endif
