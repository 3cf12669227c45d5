#ifndef EBONY_STEERING_STEERINGPLAN_H
#define EBONY_STEERING_STEERINGPLAN_H

#include "steering/siteplan.h"

#include <cstdint>
#include <vector>

namespace ebony::steering {

/// Plans of all sites, indexed by site number. Clients outside all blocks use
/// the default plan.
struct SteeringPlan {
  std::int64_t Revision_ = 0;
  std::vector<SitePlan> Sites_ = {};
  SitePlan Default_ = {};

  friend bool operator==(const SteeringPlan &, const SteeringPlan &) = default;
};

} // namespace ebony::steering

#endif
