#ifndef EBONY_BENCHQUOTA_FLEETLAYOUT_H
#define EBONY_BENCHQUOTA_FLEETLAYOUT_H

#include "base/time.h"

#include <cstddef>

namespace ebony::benchquota {

/// Layout of the simulated fleet: twelve entry VMs in three regions of two
/// zones of two VMs each, as at Confirmacor.
struct FleetLayout {
  static constexpr std::size_t Vms = 12;
  static constexpr std::size_t VmsPerZone = 2;
  static constexpr std::size_t Zones = Vms / VmsPerZone;
  static constexpr std::size_t ZonesPerRegion = 2;

  static constexpr std::size_t zoneOf(std::size_t Vm) {
    return Vm / VmsPerZone;
  }

  /// Returns the one-way latency between two VMs.
  static constexpr base::Duration latency(std::size_t A, std::size_t B) {
    if (zoneOf(A) == zoneOf(B))
      return std::chrono::microseconds(200);
    if (zoneOf(A) / ZonesPerRegion == zoneOf(B) / ZonesPerRegion)
      return std::chrono::microseconds(500);
    return std::chrono::milliseconds(20);
  }
};

} // namespace ebony::benchquota

#endif
