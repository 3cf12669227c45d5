#include "benchquota/workload.h"

#include "benchquota/fleetlayout.h"

#include <algorithm>
#include <cmath>

namespace ebony::benchquota {

namespace {

constexpr double HeavyDemandFactor = 5;
constexpr double MeanStaySeconds = 5;

double exponential(base::RandomEngine &Random, double Mean) {
  return -std::log(1 - Random.unit()) * Mean;
}

} // namespace

Workload::Workload(const WorkloadSettings &Settings, double RatePerSecond,
                   double Burst, bool IsHeavy, base::RandomEngine Random)
    : Placement_(IsHeavy ? Placement::AllVms : Settings.Placement_),
      Rate_(RatePerSecond), Burst_(Burst),
      Demand_(RatePerSecond * (IsHeavy ? HeavyDemandFactor : Settings.Load_)),
      IsHeavy_(IsHeavy), Random_(Random), AvailableTokens_(Burst),
      CurrentVm_(Random_.below(FleetLayout::Vms)) {}

base::TimePoint Workload::nextArrival() {
  while (true) {
    const base::Duration Gap =
        base::fromSeconds(exponential(Random_, 1 / Demand_));
    LastArrival_ += Gap;
    AvailableTokens_ =
        std::min(AvailableTokens_ + Rate_ * base::toSeconds(Gap), Burst_);
    if (IsHeavy_)
      return LastArrival_;
    if (AvailableTokens_ >= 1) {
      AvailableTokens_ -= 1;
      return LastArrival_;
    }
  }
}

std::size_t Workload::chooseVm(base::TimePoint Now) {
  if (Placement_ == Placement::AllVms)
    return Random_.below(FleetLayout::Vms);
  if (Placement_ == Placement::Wandering && Now >= NextMoveAt_) {
    CurrentVm_ = Random_.below(FleetLayout::Vms);
    NextMoveAt_ =
        Now + base::fromSeconds(exponential(Random_, MeanStaySeconds));
  }
  return CurrentVm_;
}

} // namespace ebony::benchquota
