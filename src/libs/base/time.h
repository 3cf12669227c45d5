#ifndef EBONY_BASE_TIME_H
#define EBONY_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace ebony::base {

/// Tag of the monotonic time line that every decision uses; never wall time.
struct MonotonicTimeline {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
};

/// Span of time in microseconds.
using Duration = std::chrono::microseconds;

/// Point of the monotonic time line of one process.
using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

/// Seconds of \p Span as a floating-point number.
inline double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Span of \p Seconds seconds, rounded towards zero to microseconds.
inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace ebony::base

#endif
