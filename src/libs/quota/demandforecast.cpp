#include "quota/demandforecast.h"

#include <algorithm>
#include <cmath>

namespace ebony::quota {

namespace {

constexpr double SpanSeconds[] = {0.3, 2, 10};
/// Minimum number of requests in a span for its average to count.
constexpr double MinRequests = 6;
/// Number of mean intervals without a request after which demand counts as
/// zero.
constexpr double IdleAfterGaps = 9;
constexpr base::Duration MinIdle = std::chrono::milliseconds(50);

} // namespace

void DemandForecast::recordRequest(base::TimePoint Now) {
  const double Elapsed =
      base::toSeconds(std::max(Now - LastRequestAt_, base::Duration(0)));
  for (std::size_t Index = 0; Index < Spans; ++Index)
    Counts_[Index] =
        Counts_[Index] * std::exp(-Elapsed / SpanSeconds[Index]) + 1;
  LastRequestAt_ = std::max(LastRequestAt_, Now);
}

double DemandForecast::average(std::size_t Span, base::TimePoint Now) const {
  const double Elapsed =
      base::toSeconds(std::max(Now - LastRequestAt_, base::Duration(0)));
  return Counts_[Span] * std::exp(-Elapsed / SpanSeconds[Span]) /
         SpanSeconds[Span];
}

bool DemandForecast::isIdle(base::TimePoint Now) const {
  // Uses the lowest average, so that a pause after a burst does not count as
  // idle.
  double PerSecond = Counts_.back() / SpanSeconds[Spans - 1];
  for (std::size_t Index = 0; Index < Spans; ++Index)
    if (Counts_[Index] >= MinRequests)
      PerSecond = std::min(PerSecond, Counts_[Index] / SpanSeconds[Index]);
  const base::Duration SinceLast = Now - LastRequestAt_;
  return PerSecond <= 0 ||
         (SinceLast > MinIdle &&
          base::toSeconds(SinceLast) * PerSecond > IdleAfterGaps);
}

double DemandForecast::recentRate(base::TimePoint Now) const {
  if (isIdle(Now))
    return 0;
  for (std::size_t Index = 0; Index < Spans; ++Index)
    if (average(Index, Now) * SpanSeconds[Index] >= MinRequests)
      return average(Index, Now);
  return average(Spans - 1, Now);
}

double DemandForecast::peakRate(base::TimePoint Now) const {
  if (isIdle(Now))
    return 0;
  double Highest = average(Spans - 1, Now);
  for (std::size_t Index = 0; Index < Spans; ++Index)
    if (average(Index, Now) * SpanSeconds[Index] >= MinRequests)
      Highest = std::max(Highest, average(Index, Now));
  return Highest;
}

} // namespace ebony::quota
