#ifndef EBONY_ENTRY_SERVICEPATH_H
#define EBONY_ENTRY_SERVICEPATH_H

#include "base/name.h"

#include <optional>
#include <string>

namespace ebony::entry {

/// Parsed target of a caller's request: "/s/<service>/<path>?<query>".
struct ServicePath {
  base::ServiceName Service_;
  /// Path without the query, used to match routes; begins with '/'.
  std::string Path_;
  /// Path with the query; the request target sent to upstreams.
  std::string Target_;

  friend bool operator==(const ServicePath &, const ServicePath &) = default;
};

/// Parses the target of a request; returns std::nullopt when it has another
/// form.
std::optional<ServicePath> parseServicePath(const std::string &Target);

} // namespace ebony::entry

#endif
