#ifndef EBONY_MEMBERSHIP_MEMBERSHIP_H
#define EBONY_MEMBERSHIP_MEMBERSHIP_H

#include "base/randomengine.h"
#include "membership/digesttable.h"
#include "membership/fleetview.h"
#include "membership/heartbeatreply.h"
#include "membership/pausemeter.h"
#include "membership/peerselector.h"
#include "membership/peersyncstate.h"
#include "membership/pull.h"
#include "membership/pullledger.h"
#include "membership/zonetable.h"

#include <map>
#include <set>
#include <vector>

namespace ebony::membership {

/// Membership protocol of one VM. The pulls themselves are the heartbeats: each
/// VM pulls from one relay of its zone. Relays pull from each other and, at
/// intervals, from a relay of another zone. Not thread-safe.
class Membership {
public:
  /// The incarnation of \p Self has to be higher at each start of a VM's
  /// software.
  Membership(const base::VmIdentity &Self, const MembershipSettings &Settings,
             base::RandomEngine Random);

  /// Applies the platform's list, which is a hint on VMs to contact and on VMs
  /// that may be leaving.
  void applyPlatformList(const PlatformList &List);

  /// Updates the status that this VM publishes. A new free capacity (request
  /// slots) is published when it changed by an eighth.
  void updateOwnStatus(std::int64_t AppliedRevision,
                       std::uint32_t FreeCapacity);

  /// Announces a planned stop, or with Gone the end of the process. The pulls
  /// of the next tick carry it.
  void announce(VmPhase Phase);

  /// Returns the pulls that are due. Has to be called several times within the
  /// pause threshold.
  std::vector<Pull> tick(base::TimePoint Now);

  HeartbeatReply answer(base::TimePoint Now, const HeartbeatRequest &Request);

  /// Applies the reply of \p Target; drops it if no pull is pending for it.
  void applyReply(base::TimePoint Now, const base::VmAddress &Target,
                  const HeartbeatReply &Reply);

  /// Records that the pull from \p Target failed. Without this call it fails
  /// after the timeout.
  void recordFailure(base::TimePoint Now, const base::VmAddress &Target);

  /// Returns true if a newer incarnation is known at this address, so that this
  /// process has to end.
  bool isSuperseded() const { return IsSuperseded_; }

  const VmStatus &self() const { return Table_.self(); }
  ZoneView zone() const { return Table_.view(); }
  const ZoneTree &tree() const { return Table_.tree(); }

  /// Returns the view of the own zone and the digests of the others, as of the
  /// last tick, answer or applied reply.
  FleetView fleet() const;

private:
  HeartbeatReply answerOtherZone(const HeartbeatRequest &Request) const;
  void applyOtherZoneReply(const HeartbeatReply &Reply,
                           const ProcessTime &SentAt);
  void applyMembers(const HeartbeatReply &Reply, const ProcessTime &SentAt,
                    PeerSyncState &SyncState);
  void applyDigests(const HeartbeatReply &Reply, const ProcessTime &SentAt,
                    PeerSyncState &SyncState);
  void advanceTo(base::TimePoint Now);
  void addHeartbeats(std::vector<Pull> &DuePulls);
  void addGossip(std::vector<Pull> &DuePulls);
  void addProbe(std::vector<Pull> &DuePulls);
  void addPull(std::vector<Pull> &DuePulls, const base::VmAddress &Target);
  HeartbeatRequest zoneRequest(const base::VmAddress &Target) const;
  HeartbeatRequest otherZoneRequest() const;
  std::vector<base::VmAddress> heartbeatTargets(const ZoneTree &Tree) const;
  void advanceSequence();
  void setStatus(const VmStatus &Status);
  DigestEntry ownDigest() const;
  base::Duration jittered(base::Duration Interval);
  bool isOfOwnZone(const VmStatus &Status) const;
  bool isRelay() const;

  MembershipSettings Settings_;
  base::RandomEngine Random_;
  PauseMeter PauseMeter_;
  ProcessTime Now_;
  ZoneTable Table_;
  DigestTable Digests_;
  PeerSelector PeerSelector_;
  PullLedger Pulls_;
  std::map<base::VmAddress, PeerSyncState> SyncStates_;
  std::set<base::VmAddress> RetryTargets_;
  std::vector<base::VmAddress> LastTargets_;
  std::vector<base::VmAddress> RedirectRelays_;
  base::TimePoint NextHeartbeat_;
  base::TimePoint NextGossip_;
  base::TimePoint NextProbe_;
  bool IsSuperseded_ = false;
};

} // namespace ebony::membership

#endif
