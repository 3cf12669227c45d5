#ifndef EBONY_MEMBERSHIP_ZONETABLE_H
#define EBONY_MEMBERSHIP_ZONETABLE_H

#include "membership/memberentry.h"
#include "membership/memberrecord.h"
#include "membership/membershipsettings.h"
#include "membership/platformvm.h"
#include "membership/relayedheartbeat.h"
#include "membership/zonetree.h"
#include "membership/zoneview.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ebony::membership {

/// State of the VMs of a zone as one VM knows it, with a version for each
/// change. Forwarding never makes a heartbeat look younger. The exception is a
/// relay's report that a VM is live, which ends with the relay's own evidence.
class ZoneTable {
public:
  ZoneTable(VmStatus Self, const MembershipSettings &Settings);

  const VmStatus &self() const { return Self_; }
  void setSelf(const VmStatus &Self);

  /// Returns the highest incarnation known at \p Address, or 0.
  base::Incarnation incarnationAt(const base::VmAddress &Address) const;

  /// Records a message received from the VM itself. \p ProvenAliveAt is the
  /// time of an own message that it answers and shows that the VM was alive
  /// then; without it the message is no evidence of life.
  void recordDirectHeartbeat(const VmStatus &Status,
                             const std::optional<ProcessTime> &ProvenAliveAt,
                             const ProcessTime &Now);

  /// Records a heartbeat that another relay forwarded, with its age as of
  /// \p AsOf.
  void recordRelayedHeartbeat(const RelayedHeartbeat &Heartbeat,
                              const ProcessTime &AsOf, const ProcessTime &Now);

  /// Merges an entry of a reply to a request sent at \p AsOf.
  void merge(const MemberEntry &Entry, const ProcessTime &AsOf,
             const ProcessTime &Now);

  /// Records that a relay reports \p Vm as still live as of \p AsOf.
  void recordReportedLive(const base::VmIdentity &Vm, const ProcessTime &AsOf);

  /// Records that the own relay reports a VM as dead whose last known status is
  /// \p Status.
  void recordReportedDead(const VmStatus &Status);

  /// Updates the leaving VMs from the platform's list.
  void applyPlatformList(const PlatformList &List);

  /// Updates the liveness of every VM and removes those dead for long.
  void updateLiveness(const ProcessTime &Now);

  std::int64_t version() const { return Version_; }

  /// Returns the entries that changed after version \p Since, with ages at
  /// \p Now.
  std::vector<MemberEntry> changedSince(std::int64_t Since,
                                        const ProcessTime &Now) const;

  /// Returns the last heartbeats of the live VMs; with \p OnlyDirectHeartbeats
  /// only of those whose heartbeats came here without a relay.
  std::vector<RelayedHeartbeat> liveHeartbeats(bool OnlyDirectHeartbeats,
                                               const ProcessTime &Now) const;

  ZoneView view() const;
  const ZoneTree &tree() const { return Tree_; }

private:
  using Records = std::map<base::VmAddress, MemberRecord>;

  MemberRecord *recordFor(const VmStatus &Status);
  void updateStatus(MemberRecord &Record, const VmStatus &Status);
  Liveness livenessAt(const MemberRecord &Record, const ProcessTime &Now) const;
  bool isLeaving(const MemberRecord &Record) const;
  void rebuildTree();

  VmStatus Self_;
  MembershipSettings Settings_;
  Records Records_;
  std::set<base::VmAddress> LeavingByPlatform_;
  std::int64_t Version_ = 1;
  ZoneTree Tree_;
  std::int64_t TreeVersion_ = 0;
};

} // namespace ebony::membership

#endif
