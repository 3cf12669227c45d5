#ifndef EBONY_AGENT_TABLEREADER_H
#define EBONY_AGENT_TABLEREADER_H

#include "base/clock.h"
#include "config/changefollower.h"
#include "config/storeclient.h"
#include "fleet/fleetstate.h"

namespace ebony::agent {

/// Updates the agent's configuration from the platform's table service.
class TableReader {
public:
  TableReader(fleet::FleetState &State, config::StoreClient Store,
              const base::Clock &Clock, base::Duration PollInterval);

  /// Performs the reads that are due. Called periodically by one thread.
  void poll();

private:
  fleet::FleetState &State_;
  config::StoreClient Store_;
  const base::Clock &Clock_;
  config::ChangeFollower Follower_;
};

} // namespace ebony::agent

#endif
