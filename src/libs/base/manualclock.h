#ifndef EBONY_BASE_MANUALCLOCK_H
#define EBONY_BASE_MANUALCLOCK_H

#include "base/clock.h"

#include <atomic>

namespace ebony::base {

/// Virtual time that moves only when told; used by scenarios and replay.
class ManualClock final : public Clock {
public:
  TimePoint now() const override;

  /// Moves the clock forward by \p Span.
  void advance(Duration Span);

private:
  std::atomic<Duration::rep> Micros_{0};
};

} // namespace ebony::base

#endif
