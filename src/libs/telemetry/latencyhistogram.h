#ifndef EBONY_TELEMETRY_LATENCYHISTOGRAM_H
#define EBONY_TELEMETRY_LATENCYHISTOGRAM_H

#include "base/time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace ebony::telemetry {

/// Counts of latencies up to one upper bound.
struct LatencyBucket {
  /// Upper bound in seconds; infinite for the last bucket.
  double UpperSeconds_ = 0;
  /// Latencies up to the bound, those of lower buckets included.
  std::int64_t Cumulative_ = 0;

  friend bool operator==(const LatencyBucket &,
                         const LatencyBucket &) = default;
};

/// Histogram of latencies from 100 microseconds to 100 seconds on a
/// logarithmic axis. Safe from any thread; threads write to shards.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void record(base::Duration Latency);

  std::vector<LatencyBucket> buckets() const;

  /// Sum of all recorded latencies in seconds.
  double sumSeconds() const;

private:
  struct Shard;
  std::vector<std::unique_ptr<Shard>> Shards_;
};

} // namespace ebony::telemetry

#endif
