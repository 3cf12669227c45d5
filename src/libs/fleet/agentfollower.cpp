#include "fleet/agentfollower.h"

#include "fleet/wireconversion.h"

#include <glog/logging.h>

namespace ebony::fleet {

namespace {

constexpr base::Duration FollowInterval = std::chrono::milliseconds(200);
constexpr base::Duration CallTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t MaxPeersAsked = 2;

} // namespace

AgentFollower::AgentFollower(FleetState &State, const base::Clock &Clock,
                             base::VmIdentity Own,
                             wire::FollowerRole::type Role,
                             std::uint16_t AgentPort)
    : State_(State), Clock_(Clock), Own_(std::move(Own)), Role_(Role),
      AgentPort_(AgentPort),
      OwnAgent_({Own_.address().text(), AgentPort}, CallTimeout),
      Thread_(FollowInterval, [this] { poll(); }) {}

void AgentFollower::start() { Thread_.start(); }

void AgentFollower::stop() { Thread_.stop(); }

void AgentFollower::poll() {
  if (!follow(OwnAgent_))
    followPeers();
}

void AgentFollower::followPeers() {
  std::size_t Asked = 0;
  for (const FleetMember &Peer : State_.members()->inZone(Own_.zone())) {
    if (Peer.Vm_.address() == Own_.address() || Asked == MaxPeersAsked)
      continue;
    ++Asked;
    Client Agent({Peer.Vm_.address().text(), AgentPort_}, CallTimeout);
    if (follow(Agent))
      return;
  }
}

bool AgentFollower::follow(Client &Agent) {
  wire::FollowRequest Request;
  Request.sender = toWire(Own_);
  Request.role = Role_;
  Request.knownRevision = State_.revision();
  Request.knownMembersVersion = State_.members()->version();
  const base::TimePoint AskedAt = Clock_.now();
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
  take(Reply, AskedAt);
  return true;
}

// The age counts from before the question was asked, so that the time on the
// way makes the knowledge older and never younger.
void AgentFollower::take(const wire::FollowReply &Reply,
                         base::TimePoint AskedAt) {
  if (Reply.__isset.snapshot)
    State_.install(fromWire(Reply.snapshot));
  std::vector<config::ChangeSet> Changes;
  Changes.reserve(Reply.changeSets.size());
  for (const wire::ChangeSet &One : Reply.changeSets)
    Changes.push_back(fromWire(One));
  if (!Changes.empty())
    State_.apply(Changes);
  if (Reply.__isset.members)
    State_.setMembers(fromWire(Reply.membersVersion, Reply.members));
  if (Reply.ageMicros >= 0)
    State_.freshness().addEvidence(
        {Reply.evidenceRevision, AskedAt - base::Duration(Reply.ageMicros)});
}

} // namespace ebony::fleet
