#ifndef EBONY_MEMBERSHIP_ZONETREE_H
#define EBONY_MEMBERSHIP_ZONETREE_H

#include "base/vmidentity.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace ebony::membership {

/// Two-level tree of a zone: a few relays, and one of them for every other VM.
/// VMs that see the same live VMs compute the same relays without exchanging
/// messages.
class ZoneTree {
public:
  /// \p Candidates are the live VMs that are not leaving. VMs in \p Fallbacks
  /// become relays only when there are fewer candidates than \p RelayCount.
  ZoneTree(const std::vector<base::VmIdentity> &Candidates,
           const std::vector<base::VmIdentity> &Fallbacks,
           std::size_t RelayCount);

  const std::vector<base::VmAddress> &relays() const { return Relays_; }

  /// Returns a hash of the set of relays.
  std::uint64_t id() const;

  bool isRelay(const base::VmAddress &Address) const;

  /// Returns the relay that \p Member pulls from, or an empty address when
  /// there is none. Uses a relay in \p Avoided only when there is no other.
  base::VmAddress relayOf(const base::VmAddress &Member,
                          const std::set<base::VmAddress> &Avoided) const;

  /// Chooses for \p Member among \p Relays as relayOf() does.
  static base::VmAddress chooseRelay(const std::vector<base::VmAddress> &Relays,
                                     const base::VmAddress &Member,
                                     const std::set<base::VmAddress> &Avoided);

private:
  std::vector<base::VmAddress> Relays_;
};

} // namespace ebony::membership

#endif
