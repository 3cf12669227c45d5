#include "base/steadyclock.h"

#include <ctime>

namespace ebony::base {

// CLOCK_BOOTTIME counts a suspended VM's time, so that a lease lapses while its
// holder is suspended; CLOCK_MONOTONIC would stand still.
TimePoint SteadyClock::now() const {
  timespec Reading{};
  clock_gettime(CLOCK_BOOTTIME, &Reading);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Reading.tv_sec) +
      std::chrono::nanoseconds(Reading.tv_nsec)));
}

} // namespace ebony::base
