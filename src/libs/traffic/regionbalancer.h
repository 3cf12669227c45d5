#ifndef EBONY_TRAFFIC_REGIONBALANCER_H
#define EBONY_TRAFFIC_REGIONBALANCER_H

#include "base/time.h"

namespace ebony::traffic {

/// Share of its objects that a region gives to other regions because its slots
/// are in use while theirs are free.
///
/// Load pattern: the load of the regions rises and falls at different times,
/// and a region with few slots cannot serve its peak. An object that moves is
/// served from no cache once, so objects move slowly and return slowly, and the
/// share of requests that changes its region stays small.
class RegionBalancer {
public:
  /// Updates the share. \p OwnUse and \p OtherUse are the occupied shares of
  /// the slots of the own region and of the regions that may take its objects.
  void update(double OwnUse, double OtherUse, base::TimePoint Now);

  double exportedShare() const { return ExportedShare_; }

private:
  double ExportedShare_ = 0;
  base::TimePoint UpdatedAt_{};
};

} // namespace ebony::traffic

#endif
