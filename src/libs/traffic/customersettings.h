#ifndef EBONY_TRAFFIC_CUSTOMERSETTINGS_H
#define EBONY_TRAFFIC_CUSTOMERSETTINGS_H

#include "base/name.h"

#include <vector>

namespace ebony::traffic {

/// Limits and priority of one customer, as configured by the operators.
struct CustomerSettings {
  base::CustomerName Name_;
  /// 0 is the most urgent; a negative value selects the route's priority.
  int Priority_ = -1;
  /// Requests per second over all VMs; 0 means no limit.
  double RatePerSecond_ = 0;
  /// Size of the token bucket in requests.
  double Burst_ = 0;
  /// Regions that may serve the customer; empty means all.
  std::vector<base::RegionName> HomeRegions_;

  friend bool operator==(const CustomerSettings &,
                         const CustomerSettings &) = default;
};

} // namespace ebony::traffic

#endif
