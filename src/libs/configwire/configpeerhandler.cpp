#include "configwire/configpeerhandler.h"

#include "configwire/messages.h"

namespace ebony::configwire {

void ConfigPeerHandler::pull(generated::PullReply &Reply,
                             const generated::PullRequest &Request) {
  Reply = Agent_.with([&](configagent::ConfigAgent &Agent) {
    return toWire(Agent.answer(fromWire(Request), Clock_.now()));
  });
}

void ConfigPeerHandler::tellIntent(generated::VmIdentity &Reply,
                                   const generated::IntentRequest &Request) {
  Reply = Agent_.with([&](configagent::ConfigAgent &Agent) {
    return toWire(Agent.answer(fromWire(Request), Clock_.now()).Sender_);
  });
}

void ConfigPeerHandler::snapshotPage(
    generated::SnapshotPage &Reply,
    const generated::SnapshotPageRequest &Request) {
  Reply = Agent_.with([&](configagent::ConfigAgent &Agent) {
    return toWire(Agent.answer(fromWire(Request), Clock_.now()));
  });
}

} // namespace ebony::configwire
