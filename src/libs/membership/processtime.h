#ifndef EBONY_MEMBERSHIP_PROCESSTIME_H
#define EBONY_MEMBERSHIP_PROCESSTIME_H

#include "base/time.h"

namespace ebony::membership {

/// A point in time and the time that this process had been paused until then.
struct ProcessTime {
  base::TimePoint Real_;
  base::Duration Paused_{0};

  /// Returns the time \p Span earlier, assuming no pause in between.
  ProcessTime before(base::Duration Span) const {
    return {Real_ - Span, Paused_};
  }

  /// Returns the age at \p Now, pauses included.
  base::Duration ageAt(const ProcessTime &Now) const {
    return Now.Real_ - Real_;
  }

  /// Age at \p Now without the time that this process was paused.
  base::Duration runningAgeAt(const ProcessTime &Now) const {
    return ageAt(Now) - (Now.Paused_ - Paused_);
  }

  friend bool operator==(const ProcessTime &, const ProcessTime &) = default;
};

} // namespace ebony::membership

#endif
