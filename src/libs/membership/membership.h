#ifndef EBONY_MEMBERSHIP_MEMBERSHIP_H
#define EBONY_MEMBERSHIP_MEMBERSHIP_H

#include "base/randomengine.h"
#include "membership/digesttable.h"
#include "membership/fleetview.h"
#include "membership/heartbeatreply.h"
#include "membership/pausedetector.h"
#include "membership/peerselector.h"
#include "membership/peersyncstate.h"
#include "membership/pull.h"
#include "membership/pulltracker.h"
#include "membership/zonetable.h"

#include <map>
#include <set>
#include <vector>

namespace ebony::membership {

/// One VM's part in the fleet's membership. Heartbeats are the pulls
/// themselves: each VM pulls from one relay of its zone, relays pull from each
/// other and, now and then, from a relay of another zone. Not thread-safe.
class Membership {
public:
  /// \p Self draws a higher incarnation at each start of a VM's software.
  Membership(const base::VmIdentity &Self, const MembershipSettings &Settings,
             base::RandomEngine Random);

  /// Takes the platform's list as a hint: whom to try, and who may be leaving.
  void applyPlatformList(const PlatformList &List);

  /// What this VM says of itself from now on. Free capacity (request slots) is
  /// told when it changes by an eighth.
  void report(std::int64_t AppliedRevision, std::uint32_t FreeCapacity);

  /// Announces a planned stop, or with Gone its end; the next tick tells it.
  void announce(VmPhase Phase);

  /// Pulls that are due. Called several times in each pause threshold.
  std::vector<Pull> tick(base::TimePoint Now);

  HeartbeatReply answer(base::TimePoint Now, const HeartbeatRequest &Request);

  /// Takes in the answer of \p Target; drops it when no pull waits for it.
  void accept(base::TimePoint Now, const base::VmAddress &Target,
              const HeartbeatReply &Reply);

  /// The pull to \p Target failed; it fails by itself after the timeout.
  void fail(base::TimePoint Now, const base::VmAddress &Target);

  /// True when a newer incarnation stands at this address: the process has to
  /// end.
  bool isSuperseded() const { return IsSuperseded_; }

  const VmStatus &self() const { return Table_.self(); }
  ZoneView zone() const { return Table_.view(); }
  const ZoneTree &tree() const { return Table_.tree(); }

  /// Both views as of the last tick, answer or accepted reply.
  FleetView fleet() const;

private:
  HeartbeatReply answerOtherZone(const HeartbeatRequest &Request) const;
  void acceptOtherZone(const HeartbeatReply &Reply, const ProcessTime &Sent);
  void takeMembers(const HeartbeatReply &Reply, const ProcessTime &Sent,
                   PeerSyncState &Source);
  void takeDigests(const HeartbeatReply &Reply, const ProcessTime &Sent,
                   PeerSyncState &Source);
  void review(base::TimePoint Now);
  void addHeartbeats(std::vector<Pull> &Due);
  void addGossip(std::vector<Pull> &Due);
  void addProbe(std::vector<Pull> &Due);
  void addPull(std::vector<Pull> &Due, const base::VmAddress &Target);
  HeartbeatRequest zoneRequest(const base::VmAddress &Target) const;
  HeartbeatRequest otherZoneRequest() const;
  std::vector<base::VmAddress> heartbeatTargets(const ZoneTree &Tree) const;
  void nextSequence();
  void setStatus(const VmStatus &Status);
  DigestEntry ownDigest() const;
  base::Duration jittered(base::Duration Interval);
  bool isOfOwnZone(const VmStatus &Status) const;
  bool isRelay() const;

  MembershipSettings Settings_;
  base::RandomEngine Random_;
  PauseDetector Meter_;
  ProcessTime Now_;
  ZoneTable Table_;
  DigestTable Digests_;
  PeerSelector Contacts_;
  PullTracker Ledger_;
  std::map<base::VmAddress, PeerSyncState> Sources_;
  std::set<base::VmAddress> Retries_;
  std::vector<base::VmAddress> Targets_;
  std::vector<base::VmAddress> Redirect_;
  base::TimePoint NextHeartbeat_;
  base::TimePoint NextGossip_;
  base::TimePoint NextProbe_;
  bool IsSuperseded_ = false;
};

} // namespace ebony::membership

#endif
