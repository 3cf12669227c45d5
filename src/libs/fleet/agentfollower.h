#ifndef EBONY_FLEET_AGENTFOLLOWER_H
#define EBONY_FLEET_AGENTFOLLOWER_H

#include "base/clock.h"
#include "fleet/fleetstate.h"
#include "fleet/periodicthread.h"
#include "wire/endpoint.h"
#include "wire/generated/Agent.h"
#include "wire/wireclient.h"

#include <memory>

namespace ebony::fleet {

/// Keeps a daemon's FleetState current by polling the agent of its own VM, or
/// other agents of the zone while the own agent does not answer.
class AgentFollower {
public:
  AgentFollower(FleetState &State, const base::Clock &Clock,
                base::VmIdentity OwnVm, wire::FollowerRole::type Role,
                std::uint16_t AgentPort);

  void start();
  void stop();

private:
  using Client = wire::WireClient<wire::AgentClient>;

  void poll();
  bool follow(Client &Agent);
  void applyReply(const wire::FollowReply &Reply, base::TimePoint RequestedAt);
  void followPeers();

  FleetState &State_;
  const base::Clock &Clock_;
  base::VmIdentity OwnVm_;
  wire::FollowerRole::type Role_;
  std::uint16_t AgentPort_;
  Client OwnAgent_;
  PeriodicThread Thread_;
};

} // namespace ebony::fleet

#endif
