#ifndef EBONY_ENTRY_REQUESTCONTEXT_H
#define EBONY_ENTRY_REQUESTCONTEXT_H

#include "base/name.h"
#include "base/time.h"
#include "entry/servicepath.h"
#include "records/configuration.h"

#include <memory>
#include <string>

namespace ebony::entry {

/// Properties of a request whose head has been parsed and validated.
struct RequestContext {
  base::RequestId Id_;
  ServicePath Path_;
  /// Empty on open routes.
  base::CustomerName Customer_;
  /// API key sent with the request; empty on open routes and for relayed
  /// requests, whose key the relaying VM has checked.
  std::string KeyText_;
  std::string RouteName_;
  /// Idempotency key sent by the caller; empty when there is none.
  std::string IdempotencyKey_;
  base::TimePoint ArrivedAt_;
  base::TimePoint Deadline_;
  /// Whether another entry VM relayed the request.
  bool IsRelayed_ = false;
  std::int64_t MaxBodyBytes_ = 0;
  std::int64_t Weight_ = 1;
  std::shared_ptr<const records::Configuration> Configuration_;
};

} // namespace ebony::entry

#endif
