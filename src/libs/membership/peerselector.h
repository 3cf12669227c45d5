#ifndef EBONY_MEMBERSHIP_PEERSELECTOR_H
#define EBONY_MEMBERSHIP_PEERSELECTOR_H

#include "base/randomengine.h"
#include "membership/digestentry.h"
#include "membership/platformvm.h"
#include "membership/zoneview.h"

#include <vector>

namespace ebony::membership {

/// Selects VMs to contact that the view of the own zone does not show as live,
/// and VMs of other zones. Uses the platform's list and the relays in the
/// digests of other zones.
class PeerSelector {
public:
  PeerSelector(base::VmAddress Self, base::ZoneName OwnZone,
               base::RandomEngine Random);

  void applyPlatformList(const PlatformList &List) { List_ = List; }

  /// Returns a random address of the own zone that \p View does not show as
  /// live, or an empty address when there is none.
  base::VmAddress randomMissingMember(const ZoneView &View);

  /// Returns a random address of a random other zone, or an empty address when
  /// no other zone is known.
  base::VmAddress randomOtherZonePeer(const std::vector<DigestEntry> &Others);

private:
  base::VmAddress pick(const std::vector<base::VmAddress> &From);

  base::VmAddress Self_;
  base::ZoneName OwnZone_;
  base::RandomEngine Random_;
  PlatformList List_;
};

} // namespace ebony::membership

#endif
