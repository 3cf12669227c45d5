#include "configwire/peersync.h"

#include "configwire/messages.h"

namespace ebony::configwire {

namespace {

// More pages than any snapshot has; stops the fetch if a peer never sends the
// last page.
constexpr int MaxPages = 100000;

} // namespace

// Reads the clock before sending the request because ages in the reply are
// relative to this time.
void PeerSync::pull(generated::ConfigPeerIf &Peer) {
  const base::TimePoint RequestSentAt = Clock_.now();
  const auto Request = Agent_.with([&](configagent::ConfigAgent &Agent) {
    return toWire(Agent.pullRequest(RequestSentAt));
  });
  generated::PullReply Reply;
  Peer.pull(Reply, Request);
  const bool NeedsSnapshot = Agent_.with([&](configagent::ConfigAgent &Agent) {
    Agent.applyPullReply(fromWire(Reply), RequestSentAt);
    return Agent.needsSnapshot();
  });
  if (NeedsSnapshot)
    fetchSnapshot(Peer);
}

void PeerSync::fetchSnapshot(generated::ConfigPeerIf &Peer) {
  configagent::SnapshotAssembler Assembler;
  for (int Count = 0; Count < MaxPages; ++Count) {
    generated::SnapshotPage Page;
    Peer.snapshotPage(Page, toWire(Assembler.nextRequest()));
    const auto Records = Assembler.addPage(fromWire(Page));
    if (!Records)
      continue;
    Agent_.with([&](configagent::ConfigAgent &Agent) {
      Agent.install(*Records);
      return true;
    });
    return;
  }
}

void PeerSync::announceIntent(const base::VmIdentity &Member,
                              generated::ConfigPeerIf &Peer) {
  std::optional<configagent::IntentRequest> Request;
  Agent_.with([&](configagent::ConfigAgent &Agent) {
    if (Agent.proposal() && !Agent.proposal()->isAnnounced())
      Request = {Agent.self(), Agent.proposal()->base()};
    return true;
  });
  if (!Request)
    return;
  generated::VmIdentity Reply;
  Peer.tellIntent(Reply, toWire(*Request));
  Agent_.with([&](configagent::ConfigAgent &Agent) {
    if (Agent.proposal() && Agent.proposal()->base() == Request->BaseRevision_)
      Agent.proposal()->recordReply(Member, {fromWire(Reply)});
    return true;
  });
}

} // namespace ebony::configwire
