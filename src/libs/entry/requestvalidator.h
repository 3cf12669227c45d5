#ifndef EBONY_ENTRY_REQUESTVALIDATOR_H
#define EBONY_ENTRY_REQUESTVALIDATOR_H

#include "base/clock.h"
#include "entry/admission.h"
#include "entry/requestcontext.h"
#include "entry/requestidgenerator.h"
#include "fleet/fleetstate.h"
#include "httpkit/problem.h"
#include "trust/keyauthenticator.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <variant>

namespace ebony::entry {

/// Context of an accepted request, or the problem for which it is refused.
using ValidationResult = std::variant<RequestContext, httpkit::Problem>;

/// Validates the head of a request: service, route, API key, body size and rate
/// limit.
class RequestValidator {
public:
  RequestValidator(const fleet::FleetState &State, const base::Clock &Clock,
                   Admission &RateLimits, RequestIdGenerator &IdGenerator);

  /// Validates a caller's request and counts it against its customer's rate.
  ValidationResult validate(const Poco::Net::HTTPServerRequest &Request);

  /// Validates a request relayed by another entry VM, which has already counted
  /// it against the customer's rate.
  ValidationResult validateRelayed(const Poco::Net::HTTPServerRequest &Request);

  /// Checks the key again just before the request is forwarded. Returns a
  /// problem when the key was revoked while the request waited.
  std::optional<httpkit::Problem>
  recheckKey(const RequestContext &Context) const;

private:
  ValidationResult parseHead(const Poco::Net::HTTPServerRequest &Request);
  std::optional<httpkit::Problem>
  authenticate(const Poco::Net::HTTPServerRequest &Request,
               RequestContext &Context) const;
  std::optional<httpkit::Problem> checkKey(const std::string &KeyText,
                                           base::CustomerName &Customer) const;
  std::optional<httpkit::Problem> applyRateLimit(const RequestContext &Context);

  const fleet::FleetState &State_;
  const base::Clock &Clock_;
  trust::KeyAuthenticator Keys_;
  Admission &Admission_;
  RequestIdGenerator &IdGenerator_;
};

} // namespace ebony::entry

#endif
