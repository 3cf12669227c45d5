#ifndef EBONY_TRAFFIC_ROUTESETTINGS_H
#define EBONY_TRAFFIC_ROUTESETTINGS_H

#include "base/name.h"
#include "base/time.h"
#include "traffic/retrypolicy.h"

#include <string>
#include <vector>

namespace ebony::traffic {

/// Weight of a service in a route's traffic split.
struct ServiceShare {
  base::ServiceName Service_;
  double Weight_ = 1;

  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// Configuration of one route.
struct RouteSettings {
  std::string Name_;
  std::string Prefix_;
  RetryPolicy RetryPolicy_ = RetryPolicy::AtMostOnce;
  /// Time within which a response is worth most to the caller.
  base::Duration LatencyObjective_{};
  /// Time after which a response no longer reaches the caller.
  base::Duration Timeout_{};
  /// 0 is the most urgent.
  int Priority_ = 0;
  /// Number of upstreams that one request may be sent to.
  int MaxAttempts_ = 1;
  bool IsPublic_ = false;
  bool IsSticky_ = false;
  std::vector<ServiceShare> Services_;
  /// Regions that may serve the route; empty means all.
  std::vector<base::RegionName> HomeRegions_;

  friend bool operator==(const RouteSettings &,
                         const RouteSettings &) = default;
};

} // namespace ebony::traffic

#endif
