#include "vm/vmmetrics.h"

namespace ebony::vm {

namespace {

constexpr auto Gauge = telemetry::CounterKind::Gauge;

} // namespace

VmMetrics::VmMetrics()
    : Latency_(Registry_.latency("ebony_request_seconds",
                                 "Time from a request to its answer.")),
      Wait_(Registry_.latency("ebony_wait_seconds",
                              "Time for which requests waited for a slot.")),
      WaitingRequests_(Registry_.counter("ebony_waiting_requests",
                                         "Requests that wait for a slot.", "",
                                         Gauge)),
      Retries_(Registry_.counter("ebony_repeats_total",
                                 "Requests sent to one more upstream.")),
      StoreFailures_(Registry_.counter("ebony_store_failures_total",
                                       "Calls to the store that failed.")),
      ConfigurationVersion_(Registry_.counter(
          "ebony_configuration_version", "Configuration in force.", "", Gauge)),
      ConfigurationAgeMs_(Registry_.counter(
          "ebony_configuration_age_milliseconds",
          "Age of the last proof that the configuration is the newest.", "",
          Gauge)),
      StoreNewsAgeMs_(Registry_.counter(
          "ebony_store_news_age_milliseconds",
          "Time since this VM had news of upstreams and evacuated zones.", "",
          Gauge)),
      LiveVms_(Registry_.counter("ebony_live_vms",
                                 "Entry VMs heard of, this one included.", "",
                                 Gauge)),
      Upstreams_(
          Registry_.counter("ebony_upstreams", "Upstreams listed.", "", Gauge)),
      LimitedUpstreams_(
          Registry_.counter("ebony_limited_upstreams",
                            "Upstreams that name a limit of their request "
                            "rate.",
                            "", Gauge)),
      SendsToLimited_(
          Registry_.counter("ebony_sends_to_limited_upstreams_total",
                            "Requests sent to upstreams that name a limit.")),
      LeavingUpstreams_(Registry_.counter(
          "ebony_leaving_upstreams_total",
          "Upstreams that have said in a response that they leave.")),
      OutdatedEntries_(Registry_.counter(
          "ebony_outdated_upstream_entries_total",
          "Entries of upstreams that were older than what was known.")),
      RejectedAnswers_(Registry_.counter(
          "ebony_rejected_answers_total",
          "Answers of upstreams that were no responses in the protocol.")),
      ColdUpstreams_(Registry_.counter("ebony_cold_upstreams",
                                       "Upstreams taken for cold.", "", Gauge)),
      SendsToCold_(Registry_.counter("ebony_sends_to_cold_upstreams_total",
                                     "Requests sent to cold upstreams.")),
      IsIsolated_(Registry_.counter(
          "ebony_isolated",
          "1 while this VM has no news of upstreams, from the store or from "
          "other VMs.",
          "", Gauge)),
      ReachesUpstreams_(Registry_.counter(
          "ebony_reaches_upstreams",
          "1 if this VM reaches upstreams, 0 if it reaches none.", "", Gauge)),
      FailedConnections_(Registry_.counter(
          "ebony_failed_upstream_connections_total",
          "Connections to upstreams that could not be opened.")),
      Relayed_(Registry_.counter(
          "ebony_relayed_requests_total",
          "Requests relayed to other VMs because no upstream was reached.")),
      UpstreamEnds_(Registry_.counter(
          "ebony_requests_lost_with_upstream_total",
          "Requests under way at an upstream whose process ended.")),
      BlamedRequests_(Registry_.counter(
          "ebony_blamed_requests",
          "Requests refused because they end upstreams.", "", Gauge)),
      CallerMemoryBytes_(Registry_.counter(
          "ebony_caller_memory_bytes",
          "Memory that callers' requests and responses take.", "", Gauge)),
      EvictedConnections_(Registry_.counter(
          "ebony_evicted_connections_total",
          "Connections of callers that were refused or closed because the "
          "memory for callers was used up.")),
      ClosedConnections_(Registry_.counter(
          "ebony_closed_connections_total",
          "Unused or idle connections that were closed to make room for new "
          "ones.")),
      RefusedConnections_(Registry_.counter(
          "ebony_refused_connections_total",
          "New connections that were closed because all others were busy.")),
      DroppedLines_(Registry_.counter("ebony_log_lines_dropped",
                                      "Log lines that found no reader.", "",
                                      Gauge)) {
  ReachesUpstreams_.set(1);
}

void VmMetrics::countRequest(const std::string &Outcome,
                             const std::string &Reason) {
  Registry_
      .counter("ebony_requests_total", "Requests by outcome and reason.",
               "outcome=\"" + Outcome + "\",reason=\"" + Reason + "\"")
      .add();
}

} // namespace ebony::vm
