#ifndef EBONY_ENTRY_RELAYSELECTOR_H
#define EBONY_ENTRY_RELAYSELECTOR_H

#include "entry/requestcontext.h"
#include "fleet/fleetstate.h"
#include "wire/endpoint.h"

#include <vector>

namespace ebony::entry {

/// Selects entry VMs of other zones for a request that this zone cannot serve.
class RelaySelector {
public:
  RelaySelector(const fleet::FleetState &State, base::VmIdentity OwnVm,
                std::uint16_t RelayPort);

  /// Returns at most \p MaxCount entry VMs of zones that have upstreams of the
  /// service, nearest zones first. The order of the VMs in a zone depends on a
  /// hash of the request id.
  std::vector<wire::Endpoint> candidates(const RequestContext &Context,
                                         std::size_t MaxCount) const;

  /// Returns whether \p Address belongs to an entry VM of the fleet.
  bool isEntryVm(const std::string &Address) const;

private:
  const fleet::FleetState &State_;
  base::VmIdentity OwnVm_;
  std::uint16_t RelayPort_;
};

} // namespace ebony::entry

#endif
