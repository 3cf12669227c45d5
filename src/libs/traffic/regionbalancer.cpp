#include "traffic/regionbalancer.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Change of the share in a second. Two seconds of it stay below the share of a
// region's requests that may move within such a time.
constexpr double ChangePerSecond = 0.04;
constexpr double MaxExportedShare = 0.5;

// A region gives objects away when this share of its slots is occupied and the
// other regions have this much more room.
constexpr double BusyUse = 0.7;
constexpr double MinDifference = 0.15;

// Longest time that one update accounts for, after a suspension for example.
constexpr double MaxStepSeconds = 0.5;

} // namespace

void RegionBalancer::update(double OwnUse, double OtherUse,
                            base::TimePoint Now) {
  const double Seconds =
      std::min(base::toSeconds(Now - UpdatedAt_), MaxStepSeconds);
  UpdatedAt_ = Now;
  const double Difference = std::min(OwnUse, 1.0) - OtherUse;
  double Change = 0;
  if (OwnUse > BusyUse && Difference > MinDifference)
    Change = ChangePerSecond;
  else if (Difference < 0)
    Change = -ChangePerSecond;
  ExportedShare_ =
      std::clamp(ExportedShare_ + Change * Seconds, 0.0, MaxExportedShare);
}

} // namespace ebony::traffic
