#include "routing/slotdivision.h"

#include "base/hashing.h"

namespace ebony::routing {

std::int64_t divideSlots(const base::UpstreamName &Target, std::int64_t Slots,
                         std::size_t Rank, std::size_t VmCount) {
  if (VmCount == 0 || Rank >= VmCount)
    return 0;
  const auto Count = static_cast<std::int64_t>(VmCount);
  const std::size_t RotatedRank =
      (Rank + base::stableHash(Target.text())) % VmCount;
  const bool GetsRemainder =
      static_cast<std::int64_t>(RotatedRank) < Slots % Count;
  return Slots / Count + (GetsRemainder ? 1 : 0);
}

} // namespace ebony::routing
