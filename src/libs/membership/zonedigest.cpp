#include "membership/zonedigest.h"

#include "base/hashing.h"

namespace ebony::membership {

std::uint32_t ZoneDigest::contentId() const {
  std::uint64_t Hash = base::stableHash(Zone_.text(), LiveVms_);
  for (const std::uint64_t Field :
       {std::uint64_t{ServingVms_}, static_cast<std::uint64_t>(LowestRevision_),
        FreeCapacity_})
    Hash = base::mixBits(Hash ^ Field);
  for (const base::VmAddress &Relay : Relays_)
    Hash = base::stableHash(Relay.text(), Hash);
  return static_cast<std::uint32_t>(Hash);
}

} // namespace ebony::membership
