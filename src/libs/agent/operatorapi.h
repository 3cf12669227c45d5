#ifndef EBONY_AGENT_OPERATORAPI_H
#define EBONY_AGENT_OPERATORAPI_H

#include "agent/agentsettings.h"
#include "agent/changesubmitter.h"
#include "agent/rolloutmonitor.h"
#include "fleet/fleetstate.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>

namespace ebony::agent {

/// Operators' HTTP interface: records, keys, fleet status, decision lookup and
/// log levels.
class OperatorApi {
public:
  OperatorApi(const AgentSettings &Settings, fleet::FleetState &State,
              ChangeSubmitter &Submitter, const RolloutMonitor &Monitor);

  /// Responds to \p Request when its method and path belong to this interface.
  /// Returns whether it did.
  bool answer(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response);

private:
  using HttpRequest = Poco::Net::HTTPServerRequest;
  using HttpResponse = Poco::Net::HTTPServerResponse;
  using Handler = void (OperatorApi::*)(HttpRequest &, HttpResponse &);
  struct ApiRoute {
    const char *Method_;
    const char *PathPrefix_;
    Handler Handler_;
  };
  static const ApiRoute Routes[];

  void listRecords(HttpRequest &Request, HttpResponse &Response);
  void applyRecords(HttpRequest &Request, HttpResponse &Response);
  void deleteRecord(HttpRequest &Request, HttpResponse &Response);
  void createKey(HttpRequest &Request, HttpResponse &Response);
  void sendStatus(HttpRequest &Request, HttpResponse &Response);
  void explain(HttpRequest &Request, HttpResponse &Response);
  void setLogLevel(HttpRequest &Request, HttpResponse &Response);

  bool isOperator(const HttpRequest &Request) const;
  ChangeSubmission makeSubmission(const HttpRequest &Request) const;
  SubmitResult submit(const ChangeSubmission &Submission);
  void sendSubmitResult(HttpResponse &Response, const SubmitResult &Result,
                        Poco::JSON::Object::Ptr Body);
  void sendCommitted(HttpResponse &Response, const SubmitResult &Result,
                     Poco::JSON::Object::Ptr Body);

  const AgentSettings &Settings_;
  fleet::FleetState &State_;
  ChangeSubmitter &Submitter_;
  const RolloutMonitor &RolloutMonitor_;
};

} // namespace ebony::agent

#endif
