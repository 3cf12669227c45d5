#ifndef EBONY_TRAFFIC_ROUTETERMS_H
#define EBONY_TRAFFIC_ROUTETERMS_H

#include "base/name.h"
#include "base/time.h"
#include "traffic/repeatrule.h"

#include <string>
#include <vector>

namespace ebony::traffic {

/// One part of a route's traffic.
struct ServiceShare {
  base::ServiceName Service_;
  double Weight_ = 1;

  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// What the operators ask for on one route.
struct RouteTerms {
  std::string Name_;
  std::string Prefix_;
  RepeatRule Repeats_ = RepeatRule::AtMostOnce;
  /// Time within which an answer is worth most to the caller.
  base::Duration Objective_{};
  /// Longest time that a request may be kept waiting.
  base::Duration Timeout_{};
  /// 0 is the most urgent.
  int Priority_ = 0;
  /// Upstreams that one request may be sent to.
  int MaxAttempts_ = 1;
  bool IsOpen_ = false;
  bool IsSticky_ = false;
  std::vector<ServiceShare> Services_;
  /// Regions that may serve the route; empty means all.
  std::vector<base::RegionName> Homes_;

  friend bool operator==(const RouteTerms &, const RouteTerms &) = default;
};

} // namespace ebony::traffic

#endif
