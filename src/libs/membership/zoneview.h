#ifndef EBONY_MEMBERSHIP_ZONEVIEW_H
#define EBONY_MEMBERSHIP_ZONEVIEW_H

#include "membership/zonemember.h"

#include <cstdint>
#include <vector>

namespace ebony::membership {

/// VMs of one zone as one VM sees them, sorted by address.
struct ZoneView {
  base::ZoneName Zone_;
  std::int64_t Version_ = 0; ///< increases with each local change
  std::vector<ZoneMember> Members_ = {};

  /// Returns the member at \p Address, or null.
  const ZoneMember *find(const base::VmAddress &Address) const;

  friend bool operator==(const ZoneView &, const ZoneView &) = default;
};

} // namespace ebony::membership

#endif
