#ifndef EBONY_HTTPKIT_ADMINHANDLER_H
#define EBONY_HTTPKIT_ADMINHANDLER_H

#include "telemetry/decisionhistory.h"
#include "telemetry/metricsregistry.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>

namespace ebony::httpkit {

/// Handles /healthz, /readyz, /metrics, /log-level and /decisions of a daemon.
class AdminHandler {
public:
  /// \p IsReady returns whether the daemon is ready to receive requests.
  AdminHandler(const telemetry::MetricsRegistry &Metrics,
               const telemetry::DecisionHistory &History,
               std::function<bool()> IsReady);

  /// Responds to an admin request. Returns false for any other request.
  bool answer(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) const;

private:
  using RouteMethod = void (AdminHandler::*)(
      Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &) const;
  struct AdminRoute {
    const char *Path_;
    RouteMethod Answer_;
  };
  static const AdminRoute Routes[];

  void sendHealth(Poco::Net::HTTPServerRequest &Request,
                  Poco::Net::HTTPServerResponse &Response) const;
  void sendReadiness(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) const;
  void sendMetrics(Poco::Net::HTTPServerRequest &Request,
                   Poco::Net::HTTPServerResponse &Response) const;
  void setLogLevel(Poco::Net::HTTPServerRequest &Request,
                   Poco::Net::HTTPServerResponse &Response) const;
  void sendDecisions(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) const;

  const telemetry::MetricsRegistry &Metrics_;
  const telemetry::DecisionHistory &History_;
  std::function<bool()> IsReady_;
};

} // namespace ebony::httpkit

#endif
