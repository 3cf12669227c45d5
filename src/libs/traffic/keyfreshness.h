#ifndef EBONY_TRAFFIC_KEYFRESHNESS_H
#define EBONY_TRAFFIC_KEYFRESHNESS_H

#include "base/time.h"

#include <algorithm>

namespace ebony::traffic {

/// Whether keys may still be accepted: a key may have been withdrawn since the
/// VM last knew that its configuration is the newest.
///
/// Load pattern: VMs that are cut from the store, or suspended, while keys are
/// withdrawn from callers that stay connected.
class KeyFreshness {
public:
  explicit KeyFreshness(base::Duration MaxAge) : MaxAge_(MaxAge) {}

  /// Notes that the store confirmed the configuration in answer to a question
  /// that was sent at \p Asked.
  void confirm(base::TimePoint Asked) {
    Confirmed_ = std::max(Confirmed_, Asked);
  }

  bool isFresh(base::TimePoint Now) const { return age(Now) < MaxAge_; }
  base::Duration age(base::TimePoint Now) const { return Now - Confirmed_; }

private:
  base::Duration MaxAge_;
  // Far in the past, so that nothing is trusted before the first answer.
  base::TimePoint Confirmed_{std::chrono::hours(-1)};
};

} // namespace ebony::traffic

#endif
