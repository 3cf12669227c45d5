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

/// What one VM knows of the VMs of its zone, with a version for each change.
/// Evidence is never made younger by passing it on, but for a relay's vouching,
/// which ends with the relay's own evidence.
class ZoneTable {
public:
  ZoneTable(VmStatus Self, const MembershipSettings &Settings);

  const VmStatus &self() const { return Self_; }
  void setSelf(const VmStatus &Self);

  /// Highest incarnation known at \p Address; 0 when there is none.
  base::Incarnation incarnationAt(const base::VmAddress &Address) const;

  /// A message came straight from the VM. It proves life at \p Proven, the
  /// time of an own message that it answers; without one it proves none.
  void hearDirect(const VmStatus &Status,
                  const std::optional<ProcessTime> &Proven,
                  const ProcessTime &Now);

  /// A fellow relay passes on a heartbeat as of \p AsOf.
  void hearVia(const RelayedHeartbeat &Heard, const ProcessTime &AsOf,
               const ProcessTime &Now);

  /// Takes in one entry of a reply to a request that left at \p AsOf.
  void merge(const MemberEntry &Entry, const ProcessTime &AsOf,
             const ProcessTime &Now);

  /// A relay says that \p Vm lives still as of \p AsOf.
  void vouch(const base::VmIdentity &Vm, const ProcessTime &AsOf);

  /// The own relay holds a VM for dead that last spoke with \p Status.
  void deny(const VmStatus &Status);

  /// Takes the platform's word on leaving VMs.
  void applyPlatformList(const PlatformList &List);

  /// Judges every VM anew and forgets those dead for long.
  void review(const ProcessTime &Now);

  std::int64_t version() const { return Version_; }

  /// Entries that changed after version \p Since, with ages at \p Now.
  std::vector<MemberEntry> changedSince(std::int64_t Since,
                                        const ProcessTime &Now) const;

  /// Heartbeats of the VMs that live; with \p OnlyDirect those that came
  /// straight here.
  std::vector<RelayedHeartbeat> heard(bool OnlyDirect,
                                      const ProcessTime &Now) const;

  ZoneView view() const;
  const ZoneTree &tree() const { return Tree_; }

private:
  using Records = std::map<base::VmAddress, MemberRecord>;

  MemberRecord *recordFor(const VmStatus &Status);
  void takeStatus(MemberRecord &Record, const VmStatus &Status);
  Liveness judge(const MemberRecord &Record, const ProcessTime &Now) const;
  bool isLeaving(const MemberRecord &Record) const;
  void plantTree();

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
