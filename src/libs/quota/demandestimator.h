#ifndef EBONY_QUOTA_DEMANDESTIMATOR_H
#define EBONY_QUOTA_DEMANDESTIMATOR_H

#include "base/time.h"

#include <array>

namespace ebony::quota {

/// Rate of arrivals, from exponentially decaying averages over several spans.
class DemandForecast {
public:
  explicit DemandForecast(base::TimePoint Start) : Noted_(Start) {}

  /// Counts one request at \p Now, whether it is admitted or not.
  void note(base::TimePoint Now);

  /// Requests a second over the shortest span that holds enough of them;
  /// nothing once no request has come for many times the usual gap.
  double recent(base::TimePoint Now) const;

  /// The highest of the averages that hold enough requests; nothing as for
  /// recent().
  double high(base::TimePoint Now) const;

  /// Requests a second over the longest span.
  double steady(base::TimePoint Now) const { return average(Spans - 1, Now); }

private:
  static constexpr std::size_t Spans = 3;

  double average(std::size_t Span, base::TimePoint Now) const;
  bool isIdle(base::TimePoint Now) const;

  base::TimePoint Noted_;
  /// Decayed counts of requests over each span, as of the last request.
  std::array<double, Spans> Counts_{};
};

} // namespace ebony::quota

#endif
