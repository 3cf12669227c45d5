#ifndef EBONY_BENCHQUOTA_WORKLOAD_H
#define EBONY_BENCHQUOTA_WORKLOAD_H

#include "base/randomengine.h"
#include "base/time.h"

#include <cstddef>

namespace ebony::benchquota {

/// Entry VMs that a customer's callers send their requests to.
enum class Placement { OneVm, AllVms, Wandering };

/// Settings of one workload.
struct WorkloadSettings {
  Placement Placement_ = Placement::OneVm;
  /// Mean demand as a fraction of the rate.
  double Load_ = 0.8;
  bool HasHeavyNeighbour_ = false;
  bool CutsZone_ = false;
  base::Duration WarmUp_ = std::chrono::seconds(15);
  base::Duration Length_ = std::chrono::seconds(60);
};

/// Generates the requests of one customer: a Poisson process, thinned to what
/// the customer's rate and burst allow unless it is a heavy one.
class Workload {
public:
  Workload(const WorkloadSettings &Settings, double RatePerSecond, double Burst,
           bool IsHeavy, base::RandomEngine Random);

  /// Returns the time of the next request.
  base::TimePoint nextArrival();

  /// Returns the index of the entry VM that the request at \p Now goes to.
  std::size_t chooseVm(base::TimePoint Now);

private:
  Placement Placement_;
  double Rate_;
  double Burst_;
  double Demand_;
  bool IsHeavy_;
  base::RandomEngine Random_;
  base::TimePoint LastArrival_;
  double AvailableTokens_;
  std::size_t CurrentVm_;
  base::TimePoint NextMoveAt_;
};

} // namespace ebony::benchquota

#endif
