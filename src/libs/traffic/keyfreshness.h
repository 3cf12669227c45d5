#ifndef EBONY_TRAFFIC_KEYFRESHNESS_H
#define EBONY_TRAFFIC_KEYFRESHNESS_H

#include "base/time.h"

#include <algorithm>

namespace ebony::traffic {

/// Tells whether API keys may be accepted. A key may have been revoked since
/// the store last confirmed that the VM's configuration is the newest.
///
/// Load pattern: VMs that are cut off from the store, or suspended, while keys
/// of connected callers are revoked.
class KeyFreshness {
public:
  explicit KeyFreshness(base::Duration MaxAge) : MaxAge_(MaxAge) {}

  /// Records that the store confirmed the configuration in the response to a
  /// request sent at \p Asked.
  void confirm(base::TimePoint Asked) {
    Confirmed_ = std::max(Confirmed_, Asked);
  }

  bool isFresh(base::TimePoint Now) const { return age(Now) < MaxAge_; }
  base::Duration age(base::TimePoint Now) const { return Now - Confirmed_; }

private:
  base::Duration MaxAge_;
  // Far in the past, so that no key is accepted before the first confirmation.
  base::TimePoint Confirmed_{std::chrono::hours(-1)};
};

} // namespace ebony::traffic

#endif
