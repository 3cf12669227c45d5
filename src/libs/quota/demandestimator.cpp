#include "quota/demandestimator.h"

#include <algorithm>
#include <cmath>

namespace ebony::quota {

namespace {

constexpr double SpanSeconds[] = {0.3, 2, 10};
/// Requests that a span must hold for its average to count.
constexpr double EnoughRequests = 6;
/// Gaps between requests after which their source counts as gone.
constexpr double IdleGaps = 9;
constexpr base::Duration ShortestIdle = std::chrono::milliseconds(50);

} // namespace

void DemandForecast::note(base::TimePoint Now) {
  const double Past =
      base::toSeconds(std::max(Now - Noted_, base::Duration(0)));
  for (std::size_t At = 0; At < Spans; ++At)
    Counts_[At] = Counts_[At] * std::exp(-Past / SpanSeconds[At]) + 1;
  Noted_ = std::max(Noted_, Now);
}

double DemandForecast::average(std::size_t Span, base::TimePoint Now) const {
  const double Past =
      base::toSeconds(std::max(Now - Noted_, base::Duration(0)));
  return Counts_[Span] * std::exp(-Past / SpanSeconds[Span]) /
         SpanSeconds[Span];
}

bool DemandForecast::isIdle(base::TimePoint Now) const {
  // The lowest average counts, so that a pause after a burst is no sign.
  double PerSecond = Counts_.back() / SpanSeconds[Spans - 1];
  for (std::size_t At = 0; At < Spans; ++At)
    if (Counts_[At] >= EnoughRequests)
      PerSecond = std::min(PerSecond, Counts_[At] / SpanSeconds[At]);
  const base::Duration Quiet = Now - Noted_;
  return PerSecond <= 0 || (Quiet > ShortestIdle &&
                            base::toSeconds(Quiet) * PerSecond > IdleGaps);
}

double DemandForecast::recent(base::TimePoint Now) const {
  if (isIdle(Now))
    return 0;
  for (std::size_t At = 0; At < Spans; ++At)
    if (average(At, Now) * SpanSeconds[At] >= EnoughRequests)
      return average(At, Now);
  return average(Spans - 1, Now);
}

double DemandForecast::high(base::TimePoint Now) const {
  if (isIdle(Now))
    return 0;
  double Highest = average(Spans - 1, Now);
  for (std::size_t At = 0; At < Spans; ++At)
    if (average(At, Now) * SpanSeconds[At] >= EnoughRequests)
      Highest = std::max(Highest, average(At, Now));
  return Highest;
}

} // namespace ebony::quota
