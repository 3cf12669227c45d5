#ifndef EBONY_CONTROL_OPERATORCLIENT_H
#define EBONY_CONTROL_OPERATORCLIENT_H

#include "base/finding.h"
#include "httpkit/httpclient.h"

#include <string>

namespace ebony::control {

/// HTTP client for the operators' interface of one agent.
class OperatorClient {
public:
  OperatorClient(httpkit::HttpClient Client, std::string Token);

  /// Sends a request with the operator's token. Returns the agent's response,
  /// or a finding when the agent did not respond.
  base::Checked<httpkit::SmallResponse>
  call(const std::string &Method, const std::string &Target,
       const std::string &Body, std::vector<httpkit::Header> Headers) const;

private:
  httpkit::HttpClient Client_;
  std::string Token_;
};

/// Parses a URL of the form "http://<address>:<port>".
base::Checked<wire::Endpoint> parseOperatorUrl(const std::string &Url);

} // namespace ebony::control

#endif
