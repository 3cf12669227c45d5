#ifndef EBONY_TRAFFIC_STOREAVAILABILITY_H
#define EBONY_TRAFFIC_STOREAVAILABILITY_H

#include "base/time.h"

#include <algorithm>

namespace ebony::traffic {

/// Since when the store has been available to some VM of the fleet, by this
/// VM's news of it and by the news that others report.
///
/// Load pattern: the store turns some VMs away and serves the others, beside
/// outages for all of them.
class StoreAvailability {
public:
  /// Records that a VM had complete news of the store at \p At.
  void recordNews(base::TimePoint At) {
    if (At - Newest_ > MaxGap)
      Since_ = At;
    Newest_ = std::max(Newest_, At);
  }

  /// Returns since when news has come without a longer gap than usual; \p Now
  /// if none came lately.
  base::TimePoint since(base::TimePoint Now) const {
    return Now - Newest_ > MaxGap ? Now : Since_;
  }

private:
  /// Longer than the time between two reports that are based on different
  /// reads, and shorter than an outage in which entries of upstreams expire.
  static constexpr base::Duration MaxGap = std::chrono::milliseconds(2500);

  base::TimePoint Newest_{std::chrono::hours(-1)};
  base::TimePoint Since_{std::chrono::hours(-1)};
};

} // namespace ebony::traffic

#endif
