#ifndef EBONY_MEMBERSHIP_PROCESSTIME_H
#define EBONY_MEMBERSHIP_PROCESSTIME_H

#include "base/time.h"

namespace ebony::membership {

/// A point in time and the time that this process had been paused until then.
struct ProcessTime {
  base::TimePoint Real_;
  base::Duration Paused_{0};

  /// The moment \p Span earlier, as if no pause lay between.
  ProcessTime before(base::Duration Span) const {
    return {Real_ - Span, Paused_};
  }

  /// True age at \p Now.
  base::Duration ageAt(const ProcessTime &Now) const {
    return Now.Real_ - Real_;
  }

  /// Age at \p Now without the time that this process was paused.
  base::Duration silenceAt(const ProcessTime &Now) const {
    return ageAt(Now) - (Now.Paused_ - Paused_);
  }

  friend bool operator==(const ProcessTime &, const ProcessTime &) = default;
};

} // namespace ebony::membership

#endif
