#ifndef EBONY_ENTRY_REQUESTGATE_H
#define EBONY_ENTRY_REQUESTGATE_H

#include "base/clock.h"
#include "entry/admission.h"
#include "entry/requestcontext.h"
#include "entry/requestidmaker.h"
#include "fleet/fleetstate.h"
#include "httpkit/problem.h"
#include "trust/keyauthenticator.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <variant>

namespace ebony::entry {

/// Request that may go on, or the reason why it may not.
using GateResult = std::variant<RequestContext, httpkit::Problem>;

/// Checks the head of a request: service, route, key, size and rate.
class RequestGate {
public:
  RequestGate(const fleet::FleetState &State, const base::Clock &Clock,
              Admission &Rates, RequestIdMaker &Ids);

  /// Checks a caller's request and charges its customer's rate.
  GateResult enter(const Poco::Net::HTTPServerRequest &Request);

  /// Checks a request that another entry VM passes on; its customer was
  /// charged there.
  GateResult enterRelayed(const Poco::Net::HTTPServerRequest &Request);

  /// Checks the key once more at the moment of use; a problem when it was
  /// withdrawn while the request waited.
  std::optional<httpkit::Problem> recheck(const RequestContext &Context) const;

private:
  GateResult readHead(const Poco::Net::HTTPServerRequest &Request);
  std::optional<httpkit::Problem>
  authenticate(const Poco::Net::HTTPServerRequest &Request,
               RequestContext &Context) const;
  std::optional<httpkit::Problem> checkKey(const std::string &KeyText,
                                           base::CustomerName &Customer) const;
  std::optional<httpkit::Problem> charge(const RequestContext &Context);

  const fleet::FleetState &State_;
  const base::Clock &Clock_;
  trust::KeyAuthenticator Keys_;
  Admission &Rates_;
  RequestIdMaker &Ids_;
};

} // namespace ebony::entry

#endif
