#ifndef EBONY_TRAFFIC_EVACUATIONS_H
#define EBONY_TRAFFIC_EVACUATIONS_H

#include "base/name.h"

#include <cstdint>
#include <set>

namespace ebony::traffic {

/// The zones that must not get new requests, as of a position in the store's
/// history.
struct Evacuations {
  /// 0 if the zones are not known.
  std::int64_t Position_ = 0;
  std::set<base::ZoneName> Zones_;

  friend bool operator==(const Evacuations &, const Evacuations &) = default;
};

} // namespace ebony::traffic

#endif
