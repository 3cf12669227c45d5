#ifndef EBONY_ROUTING_SLOTDIVISION_H
#define EBONY_ROUTING_SLOTDIVISION_H

#include "base/name.h"

#include <cstddef>
#include <cstdint>

namespace ebony::routing {

/// Returns the number of slots of one target that the VM with rank \p Rank
/// among \p VmCount VMs may use. The shares of all ranks add up to \p Slots.
/// The ranks that get the remainder depend on the target, so that the
/// remainders of many targets spread over the VMs.
std::int64_t divideSlots(const base::UpstreamName &Target, std::int64_t Slots,
                         std::size_t Rank, std::size_t VmCount);

} // namespace ebony::routing

#endif
