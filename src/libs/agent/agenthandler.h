#ifndef EBONY_AGENT_AGENTHANDLER_H
#define EBONY_AGENT_AGENTHANDLER_H

#include "agent/localdaemons.h"
#include "base/clock.h"
#include "base/vmidentity.h"
#include "fleet/fleetstate.h"
#include "wire/generated/Agent.h"

#include <functional>

namespace ebony::agent {

/// Handles Thrift calls from this VM's daemons and from other agents.
class AgentHandler final : public wire::AgentIf {
public:
  /// Calls \p OnNewRevision when a peer announces a revision newer than the
  /// local one.
  AgentHandler(base::VmIdentity OwnIdentity, std::uint16_t AgentPort,
               fleet::FleetState &State, LocalDaemons &Daemons,
               const base::Clock &Clock, std::function<void()> OnNewRevision);

  void follow(wire::FollowReply &Reply,
              const wire::FollowRequest &Request) override;
  void appliedStatus(std::vector<wire::AppliedStatus> &Statuses,
                     bool WholeZone) override;
  void announceRevision(std::int64_t Revision) override;

private:
  wire::AppliedStatus ownStatus() const;
  void addChanges(wire::FollowReply &Reply, config::Revision KnownRevision);

  base::VmIdentity OwnIdentity_;
  std::uint16_t AgentPort_;
  fleet::FleetState &State_;
  LocalDaemons &Daemons_;
  const base::Clock &Clock_;
  std::function<void()> OnNewRevision_;
};

} // namespace ebony::agent

#endif
