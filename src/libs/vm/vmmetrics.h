#ifndef EBONY_VM_VMMETRICS_H
#define EBONY_VM_VMMETRICS_H

#include "telemetry/metricsregistry.h"

#include <string>

namespace ebony::vm {

/// Counters and latency histograms of a VM.
class VmMetrics {
public:
  VmMetrics();

  /// Counts a finished request by its outcome and its reason.
  void countRequest(const std::string &Outcome, const std::string &Reason);

  telemetry::MetricsRegistry &registry() { return Registry_; }

private:
  telemetry::MetricsRegistry Registry_;

public:
  telemetry::LatencyHistogram &Latency_;
  telemetry::LatencyHistogram &Wait_;
  telemetry::Counter &WaitingRequests_;
  telemetry::Counter &Retries_;
  telemetry::Counter &StoreFailures_;
  telemetry::Counter &ConfigurationVersion_;
  telemetry::Counter &ConfigurationAgeMs_;
  telemetry::Counter &StoreNewsAgeMs_;
  telemetry::Counter &LiveVms_;
  telemetry::Counter &Upstreams_;
  telemetry::Counter &LimitedUpstreams_;
  telemetry::Counter &SendsToLimited_;
  telemetry::Counter &LeavingUpstreams_;
  telemetry::Counter &OutdatedEntries_;
  telemetry::Counter &RejectedAnswers_;
  telemetry::Counter &ColdUpstreams_;
  telemetry::Counter &SendsToCold_;
  telemetry::Counter &IsIsolated_;
  telemetry::Counter &ReachesUpstreams_;
  telemetry::Counter &FailedConnections_;
  telemetry::Counter &Relayed_;
  telemetry::Counter &UpstreamEnds_;
  telemetry::Counter &BlamedRequests_;
  telemetry::Counter &CallerMemoryBytes_;
  telemetry::Counter &EvictedConnections_;
  telemetry::Counter &ClosedConnections_;
  telemetry::Counter &RefusedConnections_;
  telemetry::Counter &DroppedLines_;
};

} // namespace ebony::vm

#endif
