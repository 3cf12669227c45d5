#ifndef EBONY_MEMBERSHIP_ZONEDIGEST_H
#define EBONY_MEMBERSHIP_ZONEDIGEST_H

#include "base/vmidentity.h"

#include <cstdint>
#include <vector>

namespace ebony::membership {

/// Summary of a zone for the other zones.
struct ZoneDigest {
  base::ZoneName Zone_;
  std::uint32_t LiveVms_ = 0;
  std::uint32_t ServingVms_ = 0;
  std::int64_t LowestRevision_ = 0; ///< lowest applied revision of a live VM
  std::uint64_t FreeCapacity_ = 0;  ///< request slots
  std::vector<base::VmAddress> Relays_ = {};

  /// Returns a hash of the content.
  std::uint32_t contentId() const;

  friend bool operator==(const ZoneDigest &, const ZoneDigest &) = default;
};

} // namespace ebony::membership

#endif
