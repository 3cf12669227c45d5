#ifndef EBONY_VM_FLEETBOUNDS_H
#define EBONY_VM_FLEETBOUNDS_H

#include "base/time.h"

namespace ebony::vm {

/// Figures that the operators promise for the fleet as a whole. The defaults
/// hold where the settings say nothing.
struct FleetBounds {
  /// Longest time for which a withdrawn key may still work.
  base::Duration KeyWithdrawal_ = std::chrono::seconds(5);
  /// Longest time until a new configuration is in force on all VMs.
  base::Duration Propagation_ = std::chrono::milliseconds(2500);
  /// Time from SIGTERM to SIGKILL.
  base::Duration StopGrace_ = std::chrono::seconds(6);
  /// Longest time for which callers may keep a directory answer.
  base::Duration DirectoryLifetime_ = std::chrono::seconds(5);
  /// Repeats allowed as a share of the requests, and beyond it, in a window.
  double RetryRatio_ = 0.2;
  double RetrySlack_ = 0;
  base::Duration RetryWindow_ = std::chrono::seconds(10);
  /// What a cold upstream tolerates beyond its rate.
  double ColdOverrun_ = 1.5;
  double ColdSlack_ = 0;

  friend bool operator==(const FleetBounds &, const FleetBounds &) = default;
};

} // namespace ebony::vm

#endif
