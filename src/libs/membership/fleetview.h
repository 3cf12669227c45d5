#ifndef EBONY_MEMBERSHIP_FLEETVIEW_H
#define EBONY_MEMBERSHIP_FLEETVIEW_H

#include "membership/digestentry.h"
#include "membership/zoneview.h"

#include <vector>

namespace ebony::membership {

/// All VMs of the own zone and a digest of each other zone.
struct FleetView {
  ZoneView OwnZone_;
  std::vector<DigestEntry> OtherZones_ = {};

  friend bool operator==(const FleetView &, const FleetView &) = default;
};

} // namespace ebony::membership

#endif
