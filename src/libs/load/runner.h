#ifndef EBONY_LOAD_RUNNER_H
#define EBONY_LOAD_RUNNER_H

#include "base/clock.h"
#include "load/arrivalplan.h"
#include "load/fleet.h"
#include "load/requestrecord.h"
#include "load/workload.h"

#include <vector>

namespace ebony::load {

/// Sends planned arrivals to a fleet at their scheduled times (open loop).
class Runner {
public:
  /// All arguments must outlive the runner.
  Runner(const Fleet &TargetFleet, const Workload &Load,
         const base::Clock &Clock)
      : Fleet_(TargetFleet), Workload_(Load), Clock_(Clock) {}

  /// Returns one record per arrival, in the same order, when all are complete.
  std::vector<RequestRecord> run(const std::vector<Arrival> &Arrivals);

private:
  const Fleet &Fleet_;
  const Workload &Workload_;
  const base::Clock &Clock_;
};

} // namespace ebony::load

#endif
