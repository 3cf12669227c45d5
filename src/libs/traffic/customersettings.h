#ifndef EBONY_TRAFFIC_CUSTOMERSETTINGS_H
#define EBONY_TRAFFIC_CUSTOMERSETTINGS_H

#include "base/name.h"

#include <vector>

namespace ebony::traffic {

/// What one customer pays for.
struct CustomerSettings {
  base::CustomerName Name_;
  /// 0 is the most urgent; none leaves the route's own priority in force.
  int Priority_ = -1;
  /// Requests a second over all VMs; 0 means no limit.
  double RatePerSecond_ = 0;
  /// Requests that may come at once beyond the rate.
  double Burst_ = 0;
  /// Regions that may serve the customer; empty means all.
  std::vector<base::RegionName> HomeRegions_;

  friend bool operator==(const CustomerSettings &,
                         const CustomerSettings &) = default;
};

} // namespace ebony::traffic

#endif
