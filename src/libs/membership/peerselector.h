#ifndef EBONY_MEMBERSHIP_PEERSELECTOR_H
#define EBONY_MEMBERSHIP_PEERSELECTOR_H

#include "base/randomengine.h"
#include "membership/digestentry.h"
#include "membership/platformvm.h"
#include "membership/zoneview.h"

#include <vector>

namespace ebony::membership {

/// Addresses worth trying when the views name nobody: the platform's list and
/// the relays of other zones' digests.
class PeerSelector {
public:
  PeerSelector(base::VmAddress Self, base::ZoneName OwnZone,
               base::RandomEngine Random);

  void applyPlatformList(const PlatformList &List) { List_ = List; }

  /// Random address of the own zone that \p View does not show as live; empty
  /// when there is none.
  base::VmAddress strangerOfOwnZone(const ZoneView &View);

  /// Random address of a random other zone; empty when none is known.
  base::VmAddress otherZone(const std::vector<DigestEntry> &Others);

private:
  base::VmAddress pick(const std::vector<base::VmAddress> &From);

  base::VmAddress Self_;
  base::ZoneName OwnZone_;
  base::RandomEngine Random_;
  PlatformList List_;
};

} // namespace ebony::membership

#endif
