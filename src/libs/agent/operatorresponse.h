#ifndef EBONY_AGENT_OPERATORRESPONSE_H
#define EBONY_AGENT_OPERATORRESPONSE_H

#include "base/finding.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <string>

namespace ebony::agent {

/// Sends \p Text as a JSON body with HTTP status \p Status.
void sendJson(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text);

/// Sends \p Text as a plain text body with status 200.
void sendPlain(Poco::Net::HTTPServerResponse &Response,
               const std::string &Text);

/// Sends all findings as a problem document with status 422.
void sendFindings(Poco::Net::HTTPServerResponse &Response,
                  const base::Findings &Report);

} // namespace ebony::agent

#endif
