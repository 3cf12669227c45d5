#include "membership/zonetree.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::membership {

namespace {

// The hash includes the incarnation, so that a VM that restarts often does not
// stay a relay.
std::uint64_t rank(const base::VmIdentity &Vm) {
  return base::stableHash(Vm.address().text(),
                          static_cast<std::uint64_t>(Vm.incarnation()));
}

std::vector<base::VmIdentity> sortedByRank(std::vector<base::VmIdentity> Vms) {
  std::sort(Vms.begin(), Vms.end(),
            [](const base::VmIdentity &Left, const base::VmIdentity &Right) {
              return std::make_pair(rank(Left), Left.address()) <
                     std::make_pair(rank(Right), Right.address());
            });
  return Vms;
}

} // namespace

ZoneTree::ZoneTree(const std::vector<base::VmIdentity> &Candidates,
                   const std::vector<base::VmIdentity> &Fallbacks,
                   std::size_t RelayCount) {
  for (const auto *Group : {&Candidates, &Fallbacks})
    for (const base::VmIdentity &Vm : sortedByRank(*Group))
      if (Relays_.size() < RelayCount)
        Relays_.push_back(Vm.address());
}

std::uint64_t ZoneTree::id() const {
  std::uint64_t Id = 0;
  for (const base::VmAddress &Relay : Relays_)
    Id ^= base::stableHash(Relay.text());
  return Id;
}

bool ZoneTree::isRelay(const base::VmAddress &Address) const {
  return std::find(Relays_.begin(), Relays_.end(), Address) != Relays_.end();
}

base::VmAddress
ZoneTree::relayOf(const base::VmAddress &Member,
                  const std::set<base::VmAddress> &Avoided) const {
  return chooseRelay(Relays_, Member, Avoided);
}

base::VmAddress
ZoneTree::chooseRelay(const std::vector<base::VmAddress> &Relays,
                      const base::VmAddress &Member,
                      const std::set<base::VmAddress> &Avoided) {
  base::VmAddress Best;
  auto BestKey = std::make_pair(true, UINT64_MAX);
  for (const base::VmAddress &Relay : Relays) {
    if (Relay == Member)
      continue;
    const auto Key = std::make_pair(
        Avoided.contains(Relay),
        base::stableHash(Relay.text(), base::stableHash(Member.text())));
    if (Best.isEmpty() || Key < BestKey) {
      Best = Relay;
      BestKey = Key;
    }
  }
  return Best;
}

} // namespace ebony::membership
