#ifndef EBONY_ENTRY_CALLERHEADERS_H
#define EBONY_ENTRY_CALLERHEADERS_H

#include "entry/requestcontext.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace ebony::entry {

/// Copies a caller's headers to a request to an upstream or another entry VM,
/// except hop-by-hop headers, credentials, the idempotency key and headers with
/// the prefix "Ebony-".
void copyCallerHeaders(const Poco::Net::HTTPRequest &From,
                       Poco::Net::HTTPRequest &To);

/// Adds the headers with the customer, the request id, the remaining time and
/// the idempotency key.
void addSystemHeaders(const RequestContext &Context, base::TimePoint Now,
                      Poco::Net::HTTPRequest &To);

/// Copies the headers of an upstream's response, except hop-by-hop headers and
/// those that the entry VM sets itself.
void copyResponseHeaders(const Poco::Net::HTTPResponse &From,
                         Poco::Net::HTTPResponse &To);

} // namespace ebony::entry

#endif
