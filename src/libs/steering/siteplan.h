#ifndef EBONY_STEERING_SITEPLAN_H
#define EBONY_STEERING_SITEPLAN_H

#include "steering/zoneshare.h"

#include <vector>

namespace ebony::steering {

/// Zones that serve a site, with their weights.
struct SitePlan {
  std::vector<ZoneShare> Shares_ = {};
  bool IsShifting_ = false; ///< the shares are about to change

  friend bool operator==(const SitePlan &, const SitePlan &) = default;
};

} // namespace ebony::steering

#endif
