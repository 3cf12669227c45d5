#ifndef EBONY_STEER_LOOKUPHANDLER_H
#define EBONY_STEER_LOOKUPHANDLER_H

#include "fleet/fleetstate.h"
#include "steer/ringcache.h"
#include "steer/steersettings.h"
#include "telemetry/decisionlog.h"
#include "telemetry/metricsregistry.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>

namespace ebony::steer {

/// Handles GET /v1/lookup?service=S[&customer=C]. The response lists the entry
/// VMs to use and the time for which it is valid.
class LookupHandler {
public:
  LookupHandler(const SteerSettings &Settings, const fleet::FleetState &State,
                telemetry::DecisionLog &Decisions,
                telemetry::MetricsRegistry &Metrics);

  void answer(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response);

private:
  std::string newSessionId();
  void sendResponse(Poco::Net::HTTPServerResponse &Response,
                    const std::string &Service,
                    const std::vector<fleet::FleetMember> &Vms);

  const SteerSettings &Settings_;
  const fleet::FleetState &State_;
  RingCache Rings_;
  telemetry::DecisionLog &Decisions_;
  telemetry::Counter &Answered_;
  telemetry::Counter &Refused_;
  std::uint64_t SessionSeed_;
  std::atomic<std::uint64_t> LastSessionNumber_{0};
};

} // namespace ebony::steer

#endif
