#include "control/operatorclient.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace ebony::control {

OperatorClient::OperatorClient(httpkit::HttpClient Client, std::string Token)
    : Client_(std::move(Client)), Token_(std::move(Token)) {}

base::Checked<httpkit::SmallResponse>
OperatorClient::call(const std::string &Method, const std::string &Target,
                     const std::string &Body,
                     std::vector<httpkit::Header> Headers) const {
  Headers.push_back({"Authorization", "Bearer " + Token_});
  auto Answer = Client_.send({Method, Target, Body, std::move(Headers)});
  if (!Answer)
    return base::Findings{
        {"", "",
         "Check with \"ebonyctl status\" whether the change was committed, "
         "or name another VM with --operator; the agent did not respond."}};
  return std::move(*Answer);
}

base::Checked<wire::Endpoint> parseOperatorUrl(const std::string &Url) {
  try {
    const Poco::URI Parsed(Url);
    if (Parsed.getScheme() == "http" && !Parsed.getHost().empty() &&
        Parsed.getPort() != 0)
      return wire::Endpoint{Parsed.getHost(), Parsed.getPort()};
  } catch (const Poco::Exception &) {
    // Falls through to the error for malformed URLs below.
  }
  return base::Findings{{"--operator", "",
                         "Write http://<IP address>:<port> of an agent's "
                         "operators' interface."}};
}

} // namespace ebony::control
