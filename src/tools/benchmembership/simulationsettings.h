#ifndef EBONY_BENCHMEMBERSHIP_SIMULATIONSETTINGS_H
#define EBONY_BENCHMEMBERSHIP_SIMULATIONSETTINGS_H

#include "base/time.h"

#include <cstddef>

namespace ebony::benchmembership {

/// Size of a simulated fleet, with the faults of its network and processes.
struct SimulationSettings {
  std::size_t Zones_ = 6;
  std::size_t VmsPerZone_ = 2;
  double LossEachWay_ = 0;
  base::Duration LongestDelay_ = std::chrono::milliseconds(40);
  double PausesPerMinute_ = 0; ///< for each VM
  base::Duration LongestPause_{0};

  friend bool operator==(const SimulationSettings &,
                         const SimulationSettings &) = default;
};

} // namespace ebony::benchmembership

#endif
