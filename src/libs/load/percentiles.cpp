#include "load/percentiles.h"

#include <algorithm>
#include <cmath>

namespace ebony::load {

namespace {

// Nearest-rank percentile: the smallest sample that at least Share of all
// samples do not exceed.
double percentileMs(const std::vector<base::Duration> &Sorted, double Share) {
  constexpr double MillisecondsPerSecond = 1000.0;
  const auto Count = static_cast<double>(Sorted.size());
  const auto Rank =
      static_cast<std::size_t>(std::max(1.0, std::ceil(Share * Count)));
  return base::toSeconds(Sorted[Rank - 1]) * MillisecondsPerSecond;
}

} // namespace

LatencySummary summarize(std::vector<base::Duration> Latencies) {
  if (Latencies.empty())
    return {};
  std::ranges::sort(Latencies);
  return {percentileMs(Latencies, 0.5), percentileMs(Latencies, 0.99),
          percentileMs(Latencies, 0.999)};
}

} // namespace ebony::load
