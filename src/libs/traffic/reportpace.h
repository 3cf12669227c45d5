#ifndef EBONY_TRAFFIC_REPORTPACE_H
#define EBONY_TRAFFIC_REPORTPACE_H

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace ebony::traffic {

/// Time between a VM's reports to others in a small fleet. It grows with the
/// fleet, so that the number of reports that a VM handles in a second stays
/// bounded.
constexpr base::Duration MinReportInterval = std::chrono::milliseconds(300);
constexpr int MaxReportsPerSecond = 60;

/// Minimum for VMs of other regions, which send most of their requests to other
/// upstreams than this VM.
constexpr base::Duration MinRemoteReportInterval =
    std::chrono::milliseconds(600);

constexpr base::Duration reportInterval(std::size_t VmCount,
                                        base::Duration MinInterval) {
  return std::max<base::Duration>(
      MinInterval,
      std::chrono::microseconds(1'000'000 * VmCount / MaxReportsPerSecond));
}

/// Returns the time between reports to \p VmCount VMs of this VM's region.
constexpr base::Duration reportIntervalInRegion(std::size_t VmCount) {
  return reportInterval(VmCount, MinReportInterval);
}

/// Returns the time between reports to \p VmCount VMs of other regions.
constexpr base::Duration reportIntervalToOtherRegions(std::size_t VmCount) {
  return reportInterval(VmCount, MinRemoteReportInterval);
}

} // namespace ebony::traffic

#endif
