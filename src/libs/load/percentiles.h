#ifndef EBONY_LOAD_PERCENTILES_H
#define EBONY_LOAD_PERCENTILES_H

#include "base/time.h"

#include <vector>

namespace ebony::load {

/// Exact latency percentiles in milliseconds; 0 when there are no samples.
struct LatencySummary {
  double P50_ = 0;
  double P99_ = 0;
  double P999_ = 0;

  friend bool operator==(const LatencySummary &,
                         const LatencySummary &) = default;
};

LatencySummary summarize(std::vector<base::Duration> Latencies);

} // namespace ebony::load

#endif
