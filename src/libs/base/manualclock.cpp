#include "base/manualclock.h"

namespace ebony::base {

TimePoint ManualClock::now() const {
  return TimePoint(Duration(Micros_.load()));
}

void ManualClock::advance(Duration Span) { Micros_ += Span.count(); }

} // namespace ebony::base
