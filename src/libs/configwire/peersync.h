#ifndef EBONY_CONFIGWIRE_PEERSYNC_H
#define EBONY_CONFIGWIRE_PEERSYNC_H

#include "base/clock.h"
#include "configwire/generatedpeer.h"
#include "configwire/guardedagent.h"

namespace ebony::configwire {

/// Calls one peer on behalf of the agent. Functions throw
/// apache::thrift::TException if a call fails; its reply is then not applied.
class PeerSync {
public:
  PeerSync(GuardedAgent &Agent, const base::Clock &Clock)
      : Agent_(Agent), Clock_(Clock) {}

  /// Pulls the changes that the agent lacks from \p Peer, or its snapshot if
  /// its log no longer holds all of them.
  void pull(generated::ConfigPeerIf &Peer);

  /// Announces the current proposal to \p Peer, which serves the address of
  /// \p Member, unless enough members have been notified already.
  void announceIntent(const base::VmIdentity &Member,
                      generated::ConfigPeerIf &Peer);

private:
  void fetchSnapshot(generated::ConfigPeerIf &Peer);

  GuardedAgent &Agent_;
  const base::Clock &Clock_;
};

} // namespace ebony::configwire

#endif
