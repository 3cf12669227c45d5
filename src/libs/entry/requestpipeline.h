#ifndef EBONY_ENTRY_REQUESTPIPELINE_H
#define EBONY_ENTRY_REQUESTPIPELINE_H

#include "base/clock.h"
#include "entry/dispatcher.h"
#include "entry/forwarder.h"
#include "entry/relayselector.h"
#include "entry/requestvalidator.h"
#include "telemetry/decisionlog.h"
#include "telemetry/metricsregistry.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>

namespace ebony::entry {

/// Processes a request from its arrival to its response: validation, wait for a
/// slot, forwarding with retries.
class RequestPipeline {
public:
  RequestPipeline(RequestValidator &Validator, Dispatcher &SlotDispatcher,
                  Forwarder &RequestForwarder, RelaySelector &Relays,
                  const base::Clock &Clock, telemetry::DecisionLog &Decisions,
                  telemetry::MetricsRegistry &Metrics);

  /// Handles a request from a caller.
  void handleCallerRequest(Poco::Net::HTTPServerRequest &Request,
                           Poco::Net::HTTPServerResponse &Response);

  /// Handles a request relayed by another entry VM.
  void handleRelayedRequest(Poco::Net::HTTPServerRequest &Request,
                            Poco::Net::HTTPServerResponse &Response);

  /// Starts to refuse every new request as not run.
  void beginStop() { IsStopping_ = true; }

private:
  struct ActiveRequest;
  /// std::nullopt when the response has been sent; otherwise the problem to
  /// report to the caller.
  using StepResult = std::optional<httpkit::Problem>;

  void processRequest(ValidationResult Validation,
                      Poco::Net::HTTPServerRequest &Request,
                      Poco::Net::HTTPServerResponse &Response);
  StepResult serve(ActiveRequest &Active);
  StepResult serveInZone(ActiveRequest &Active);
  StepResult attemptForward(ActiveRequest &Active, SlotLease &Slot,
                            bool &MayRetry);
  StepResult relayToOtherZone(ActiveRequest &Active);
  httpkit::Problem problemFor(DispatchFailure Failure) const;
  StepResult problemFor(const ForwardResult &Result,
                        ActiveRequest &Active) const;
  void recordDecision(const ActiveRequest &Active, const char *Decision,
                      const std::string &Reason, const std::string &Chosen);
  void sendRefusal(Poco::Net::HTTPServerResponse &Response,
                   const httpkit::Problem &Problem);

  RequestValidator &Validator_;
  Dispatcher &Dispatcher_;
  Forwarder &Forwarder_;
  RelaySelector &RelaySelector_;
  const base::Clock &Clock_;
  telemetry::DecisionLog &Decisions_;
  telemetry::MetricsRegistry &Metrics_;
  telemetry::LatencyHistogram &Latency_;
  std::atomic<bool> IsStopping_{false};
};

} // namespace ebony::entry

#endif
