#ifndef EBONY_VM_FLEETBOUNDS_H
#define EBONY_VM_FLEETBOUNDS_H

#include "base/time.h"

namespace ebony::vm {

/// Limits that the operators guarantee for the whole fleet. The defaults apply
/// where the settings give no value.
struct FleetBounds {
  /// Longest time for which a withdrawn key may still be accepted.
  base::Duration KeyWithdrawal_ = std::chrono::seconds(5);
  /// Longest time until a new configuration is in force on all VMs.
  base::Duration Propagation_ = std::chrono::milliseconds(2500);
  /// Time from SIGTERM to SIGKILL.
  base::Duration StopGrace_ = std::chrono::seconds(6);
  /// Longest time for which callers may cache a directory response.
  base::Duration DirectoryLifetime_ = std::chrono::seconds(5);
  /// Retries allowed within a window: a ratio of the requests plus a fixed
  /// number.
  double RetryRatio_ = 0.2;
  double RetrySlack_ = 0;
  base::Duration RetryWindow_ = std::chrono::seconds(10);
  /// Limit of the request rate to a cold upstream: a multiple of its service's
  /// cold rate plus a fixed number of requests per second.
  double ColdOverrun_ = 1.5;
  double ColdSlack_ = 0;

  friend bool operator==(const FleetBounds &, const FleetBounds &) = default;
};

} // namespace ebony::vm

#endif
