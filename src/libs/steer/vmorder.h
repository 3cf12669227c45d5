#ifndef EBONY_STEER_VMORDER_H
#define EBONY_STEER_VMORDER_H

#include "base/name.h"
#include "fleet/memberlist.h"
#include "records/configuration.h"
#include "steering/customerring.h"

#include <string>
#include <vector>

namespace ebony::steer {

/// Returns at most \p MaxCount entry VMs for a caller in order of preference:
/// those of \p Zone in the order of its \p Ring, then those of the other zones,
/// nearest first. \p CallerHash spreads the callers of a customer that is too
/// large for one VM. VMs that are leaving or not live are omitted.
std::vector<fleet::FleetMember>
orderVms(const fleet::MemberList &Members,
         const records::Configuration &Configuration,
         const base::ZoneName &Zone, const steering::CustomerRing &Ring,
         const std::string &CustomerHint, std::uint64_t CallerHash,
         std::size_t MaxCount);

} // namespace ebony::steer

#endif
