#ifndef EBONY_RECORDS_ROUTERECORD_H
#define EBONY_RECORDS_ROUTERECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// Whether a route requires a key.
enum class RouteAccess { Keyed, Open };

/// A path prefix of a service; the longest matching prefix is used.
struct RouteRecord {
  std::string Name_;
  base::ServiceName Service_;
  std::string PathPrefix_;
  RouteAccess Access_ = RouteAccess::Keyed;

  friend bool operator==(const RouteRecord &, const RouteRecord &) = default;
};

} // namespace ebony::records

#endif
