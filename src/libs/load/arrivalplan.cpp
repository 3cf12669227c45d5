#include "load/arrivalplan.h"

#include "base/hashing.h"
#include "base/randomengine.h"

#include <algorithm>
#include <cmath>

namespace ebony::load {

namespace {

std::size_t drawClass(const std::vector<ClassWeight> &Mix,
                      base::RandomEngine &Random) {
  double Total = 0;
  for (const ClassWeight &Candidate : Mix)
    Total += Candidate.Weight_;
  double Remaining = Random.unit() * Total;
  for (const ClassWeight &Candidate : Mix) {
    Remaining -= Candidate.Weight_;
    if (Remaining < 0)
      return Candidate.Class_;
  }
  return Mix.back().Class_;
}

void appendArrivals(std::vector<Arrival> &Arrivals, const Workload &Load,
                    std::size_t CustomerIndex, base::Duration Span) {
  const CustomerLoad &Profile = Load.Customers_[CustomerIndex];
  // Each customer has its own random sequence, so that a change to one
  // customer does not change the arrivals of the others.
  base::RandomEngine Random(base::stableHash(Profile.Customer_, Load.Seed_));
  double Seconds = 0;
  while (true) {
    Seconds += -std::log(1.0 - Random.unit()) / Profile.RequestsPerSecond_;
    if (base::fromSeconds(Seconds) >= Span)
      return;
    Arrivals.push_back({base::fromSeconds(Seconds), CustomerIndex,
                        drawClass(Profile.Mix_, Random),
                        Random.below(Profile.HomeZones_.size())});
  }
}

} // namespace

std::vector<Arrival> planArrivals(const Workload &Load, base::Duration Span) {
  std::vector<Arrival> Arrivals;
  for (std::size_t Index = 0; Index < Load.Customers_.size(); ++Index)
    appendArrivals(Arrivals, Load, Index, Span);
  std::ranges::stable_sort(Arrivals, {}, &Arrival::When_);
  return Arrivals;
}

} // namespace ebony::load
