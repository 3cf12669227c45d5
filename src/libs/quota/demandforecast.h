#ifndef EBONY_QUOTA_DEMANDFORECAST_H
#define EBONY_QUOTA_DEMANDFORECAST_H

#include "base/time.h"

#include <array>

namespace ebony::quota {

/// Estimates the request rate by exponentially decaying averages over several
/// time spans.
class DemandForecast {
public:
  explicit DemandForecast(base::TimePoint Start) : LastRequestAt_(Start) {}

  /// Counts one request at \p Now, whether it is admitted or not.
  void recordRequest(base::TimePoint Now);

  /// Returns the requests per second over the shortest span that holds enough
  /// of them; zero once no request has arrived for many times the usual
  /// interval.
  double recentRate(base::TimePoint Now) const;

  /// Returns the highest of the averages that hold enough requests; zero in the
  /// same case as recentRate().
  double peakRate(base::TimePoint Now) const;

  /// Returns the requests per second over the longest span.
  double steadyRate(base::TimePoint Now) const {
    return average(Spans - 1, Now);
  }

private:
  static constexpr std::size_t Spans = 3;

  double average(std::size_t Span, base::TimePoint Now) const;
  bool isIdle(base::TimePoint Now) const;

  base::TimePoint LastRequestAt_;
  /// Decayed request count of each span as of the last request.
  std::array<double, Spans> Counts_{};
};

} // namespace ebony::quota

#endif
