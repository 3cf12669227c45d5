#ifndef EBONY_MEMBERSHIP_MEMBERSHIPSETTINGS_H
#define EBONY_MEMBERSHIP_MEMBERSHIPSETTINGS_H

#include "base/time.h"

#include <cstddef>

namespace ebony::membership {

/// Intervals, timeouts and sizes of the membership protocol.
struct MembershipSettings {
  base::Duration HeartbeatInterval_ = std::chrono::milliseconds(700);
  base::Duration PullTimeout_ = std::chrono::milliseconds(300);
  base::Duration MinSuspicionTimeout_ = std::chrono::seconds(3);
  base::Duration MaxSuspicionTimeout_ = std::chrono::seconds(5);
  base::Duration PauseThreshold_ = std::chrono::milliseconds(400);
  base::Duration GossipInterval_ = std::chrono::seconds(1);
  base::Duration ProbeInterval_ = std::chrono::seconds(5);
  base::Duration ZoneTimeout_ = std::chrono::seconds(20);
  base::Duration DeadRetention_ = std::chrono::minutes(10);
  std::size_t RelaysPerZone_ = 3;

  friend bool operator==(const MembershipSettings &,
                         const MembershipSettings &) = default;

  /// Returns the longest time for which a VM may show a dead VM as live, in the
  /// viewer's running time.
  base::Duration detectionBound() const {
    return 2 * (MaxSuspicionTimeout_ + HeartbeatInterval_ + PullTimeout_);
  }
};

} // namespace ebony::membership

#endif
