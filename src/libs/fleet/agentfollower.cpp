#include "fleet/agentfollower.h"

#include "fleet/wireconversion.h"

#include <glog/logging.h>

namespace ebony::fleet {

namespace {

constexpr base::Duration FollowInterval = std::chrono::milliseconds(200);
constexpr base::Duration CallTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t MaxPeersTried = 2;

} // namespace

AgentFollower::AgentFollower(FleetState &State, const base::Clock &Clock,
                             base::VmIdentity OwnVm,
                             wire::FollowerRole::type Role,
                             std::uint16_t AgentPort)
    : State_(State), Clock_(Clock), OwnVm_(std::move(OwnVm)), Role_(Role),
      AgentPort_(AgentPort),
      OwnAgent_({OwnVm_.address().text(), AgentPort}, CallTimeout),
      Thread_(FollowInterval, [this] { poll(); }) {}

void AgentFollower::start() { Thread_.start(); }

void AgentFollower::stop() { Thread_.stop(); }

void AgentFollower::poll() {
  if (!follow(OwnAgent_))
    followPeers();
}

void AgentFollower::followPeers() {
  std::size_t Tried = 0;
  for (const FleetMember &Peer : State_.members()->inZone(OwnVm_.zone())) {
    if (Peer.Vm_.address() == OwnVm_.address() || Tried == MaxPeersTried)
      continue;
    ++Tried;
    Client Agent({Peer.Vm_.address().text(), AgentPort_}, CallTimeout);
    if (follow(Agent))
      return;
  }
}

bool AgentFollower::follow(Client &Agent) {
  wire::FollowRequest Request;
  Request.sender = toWire(OwnVm_);
  Request.role = Role_;
  Request.knownRevision = State_.revision();
  Request.knownMembersVersion = State_.members()->version();
  const base::TimePoint RequestedAt = Clock_.now();
  wire::FollowReply Reply;
  try {
    Agent.call([&](wire::AgentClient &Stub) {
      Stub.follow(Reply, Request);
      return true;
    });
  } catch (const apache::thrift::TException &Error) {
    VLOG(1) << "agent did not answer error=\"" << Error.what() << '"';
    return false;
  }
  applyReply(Reply, RequestedAt);
  return true;
}

// The age counts from before the request was sent, so that the round trip makes
// the evidence older and never younger.
void AgentFollower::applyReply(const wire::FollowReply &Reply,
                               base::TimePoint RequestedAt) {
  if (Reply.__isset.snapshot)
    State_.install(fromWire(Reply.snapshot));
  std::vector<config::ChangeSet> Changes;
  Changes.reserve(Reply.changeSets.size());
  for (const wire::ChangeSet &Change : Reply.changeSets)
    Changes.push_back(fromWire(Change));
  if (!Changes.empty())
    State_.apply(Changes);
  if (Reply.__isset.members)
    State_.setMembers(fromWire(Reply.membersVersion, Reply.members));
  if (Reply.ageMicros >= 0)
    State_.freshness().addEvidence(
        {Reply.evidenceRevision,
         RequestedAt - base::Duration(Reply.ageMicros)});
}

} // namespace ebony::fleet
