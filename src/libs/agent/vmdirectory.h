#ifndef EBONY_AGENT_VMDIRECTORY_H
#define EBONY_AGENT_VMDIRECTORY_H

#include "fleet/fleetstate.h"
#include "platform/platformclient.h"

namespace ebony::agent {

/// Updates the member list from the platform's list of entry VMs, which lags
/// behind the actual state.
class VmDirectory {
public:
  VmDirectory(fleet::FleetState &State, platform::PlatformClient &Platform);

  /// Reads the list. Called periodically by one thread. Keeps the previous list
  /// while the platform does not respond.
  void poll();

private:
  fleet::FleetState &State_;
  platform::PlatformClient &Platform_;
};

} // namespace ebony::agent

#endif
