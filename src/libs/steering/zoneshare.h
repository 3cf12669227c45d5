#ifndef EBONY_STEERING_ZONESHARE_H
#define EBONY_STEERING_ZONESHARE_H

#include "base/name.h"

#include <cstdint>

namespace ebony::steering {

/// Weight of a zone in a site's plan, which sets its share of the site's
/// clients.
struct ZoneShare {
  base::ZoneName Zone_;
  std::uint32_t Weight_ = 0;

  friend bool operator==(const ZoneShare &, const ZoneShare &) = default;
};

} // namespace ebony::steering

#endif
