#ifndef EBONY_TELEMETRY_METRICSREGISTRY_H
#define EBONY_TELEMETRY_METRICSREGISTRY_H

#include "telemetry/counter.h"
#include "telemetry/latencyhistogram.h"

#include <map>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>

namespace ebony::telemetry {

/// What a counter's number means to a reader of metrics.
enum class CounterKind { Count, Gauge };

/// All metrics of one process. Safe from any thread.
class MetricsRegistry {
public:
  /// The counter \p Name with \p Labels, such as "outcome=\"not-run\""; the
  /// first call creates it. The reference lives as long as the registry.
  Counter &counter(const std::string &Name, const std::string &Help,
                   const std::string &Labels = "",
                   CounterKind Kind = CounterKind::Count);

  /// The histogram \p Name; the first call creates it.
  LatencyHistogram &latency(const std::string &Name, const std::string &Help);

  /// Writes all metrics in the text exposition format.
  void writeTo(std::ostream &Stream) const;

private:
  struct CounterFamily {
    std::string Help_;
    CounterKind Kind_ = CounterKind::Count;
    std::map<std::string, std::unique_ptr<Counter>> ByLabels_;
  };
  struct LatencyFamily {
    std::string Help_;
    std::unique_ptr<LatencyHistogram> Histogram_;
  };

  mutable std::mutex Lock_;
  std::map<std::string, CounterFamily> Counters_;
  std::map<std::string, LatencyFamily> Latencies_;
};

} // namespace ebony::telemetry

#endif
