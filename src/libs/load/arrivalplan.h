#ifndef EBONY_LOAD_ARRIVALPLAN_H
#define EBONY_LOAD_ARRIVALPLAN_H

#include "base/time.h"
#include "load/workload.h"

#include <cstdint>
#include <vector>

namespace ebony::load {

/// One request and its scheduled time. The schedule is open loop: it does not
/// depend on the completion of other requests.
struct Arrival {
  base::Duration When_{0}; ///< Since the start of the run.
  std::size_t Customer_ = 0;
  std::size_t Class_ = 0;
  std::size_t HomeZone_ = 0; ///< Index in CustomerLoad::HomeZones_.

  friend bool operator==(const Arrival &, const Arrival &) = default;
};

/// Returns Poisson arrivals of all customers over \p Span, sorted by time.
/// Equal workloads give equal arrivals.
std::vector<Arrival> planArrivals(const Workload &Load, base::Duration Span);

} // namespace ebony::load

#endif
