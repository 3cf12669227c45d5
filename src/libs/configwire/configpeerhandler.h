#ifndef EBONY_CONFIGWIRE_CONFIGPEERHANDLER_H
#define EBONY_CONFIGWIRE_CONFIGPEERHANDLER_H

#include "base/clock.h"
#include "configwire/generatedpeer.h"
#include "configwire/guardedagent.h"

namespace ebony::configwire {

/// Handles remote calls from peers.
class ConfigPeerHandler final : public generated::ConfigPeerIf {
public:
  ConfigPeerHandler(GuardedAgent &Agent, const base::Clock &Clock)
      : Agent_(Agent), Clock_(Clock) {}

  void pull(generated::PullReply &Reply,
            const generated::PullRequest &Request) override;
  void tellIntent(generated::VmIdentity &Reply,
                  const generated::IntentRequest &Request) override;
  void snapshotPage(generated::SnapshotPage &Reply,
                    const generated::SnapshotPageRequest &Request) override;

private:
  GuardedAgent &Agent_;
  const base::Clock &Clock_;
};

} // namespace ebony::configwire

#endif
