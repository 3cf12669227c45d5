#include "agent/agenthandler.h"

#include "fleet/wireconversion.h"
#include "wire/wireclient.h"

#include <glog/logging.h>

namespace ebony::agent {

namespace {

constexpr std::size_t MaxChangesPerReply = 128;
constexpr base::Duration PeerStatusTimeout = std::chrono::milliseconds(500);

} // namespace

AgentHandler::AgentHandler(base::VmIdentity OwnIdentity,
                           std::uint16_t AgentPort, fleet::FleetState &State,
                           LocalDaemons &Daemons, const base::Clock &Clock,
                           std::function<void()> OnNewRevision)
    : OwnIdentity_(std::move(OwnIdentity)), AgentPort_(AgentPort),
      State_(State), Daemons_(Daemons), Clock_(Clock),
      OnNewRevision_(std::move(OnNewRevision)) {}

void AgentHandler::follow(wire::FollowReply &Reply,
                          const wire::FollowRequest &Request) {
  if (Request.sender.address == OwnIdentity_.address().text())
    Daemons_.recordAppliedRevision(Request.role, Request.knownRevision);
  addChanges(Reply, Request.knownRevision);
  const auto Evidence = State_.freshness().evidence();
  Reply.ageMicros = Evidence ? (Clock_.now() - Evidence->AsOf_).count() : -1;
  Reply.evidenceRevision = Evidence ? Evidence->Revision_ : 0;
  const auto Members = State_.members();
  Reply.membersVersion = Members->version();
  if (Request.knownMembersVersion != Members->version())
    Reply.__set_members(fleet::toWire(*Members));
}

void AgentHandler::addChanges(wire::FollowReply &Reply,
                              config::Revision KnownRevision) {
  State_.withReplica([&](config::ConfigReplica &Replica) {
    const auto Changes =
        Replica.changesAfter(KnownRevision, MaxChangesPerReply);
    if (!Changes) {
      Reply.__set_snapshot(fleet::toWire(Replica.records()));
      return true;
    }
    for (const config::ChangeSet &ChangeSet : *Changes)
      Reply.changeSets.push_back(fleet::toWire(ChangeSet));
    return true;
  });
}

wire::AppliedStatus AgentHandler::ownStatus() const {
  wire::AppliedStatus Status;
  Status.vm = fleet::toWire(OwnIdentity_);
  Status.agentRevision = State_.revision();
  Status.daemonRevision =
      Daemons_.lowestAppliedRevision().value_or(Status.agentRevision);
  return Status;
}

void AgentHandler::appliedStatus(std::vector<wire::AppliedStatus> &Statuses,
                                 bool WholeZone) {
  Statuses.push_back(ownStatus());
  if (!WholeZone)
    return;
  for (const fleet::FleetMember &Member :
       State_.members()->inZone(OwnIdentity_.zone())) {
    if (Member.Vm_.address() == OwnIdentity_.address() || !Member.IsLive_)
      continue;
    try {
      wire::WireClient<wire::AgentClient> Peer(
          {Member.Vm_.address().text(), AgentPort_}, PeerStatusTimeout);
      std::vector<wire::AppliedStatus> PeerStatuses;
      Peer.call([&](wire::AgentClient &Stub) {
        Stub.appliedStatus(PeerStatuses, false);
        return true;
      });
      Statuses.insert(Statuses.end(), PeerStatuses.begin(), PeerStatuses.end());
    } catch (const apache::thrift::TException &Error) {
      VLOG(1) << "cannot read the applied revision of agent "
              << Member.Vm_.address().text() << " error=" << Error.what();
    }
  }
}

void AgentHandler::announceRevision(std::int64_t Revision) {
  if (Revision > State_.revision())
    OnNewRevision_();
}

} // namespace ebony::agent
