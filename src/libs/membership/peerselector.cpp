#include "membership/peerselector.h"

#include <map>
#include <utility>

namespace ebony::membership {

namespace {

// Some contacts come from the platform's list, because all relays in a digest
// may have been replaced.
constexpr double PlatformListProbability = 0.25;

} // namespace

PeerSelector::PeerSelector(base::VmAddress Self, base::ZoneName OwnZone,
                           base::RandomEngine Random)
    : Self_(std::move(Self)), OwnZone_(std::move(OwnZone)), Random_(Random) {}

base::VmAddress PeerSelector::pick(const std::vector<base::VmAddress> &From) {
  return From.empty() ? base::VmAddress() : From[Random_.below(From.size())];
}

base::VmAddress PeerSelector::randomMissingMember(const ZoneView &View) {
  std::vector<base::VmAddress> MissingMembers;
  for (const PlatformVm &Vm : List_) {
    if (Vm.Zone_ != OwnZone_ || Vm.Address_ == Self_)
      continue;
    const ZoneMember *Known = View.find(Vm.Address_);
    if (!Known || !Known->IsLive_)
      MissingMembers.push_back(Vm.Address_);
  }
  return pick(MissingMembers);
}

base::VmAddress
PeerSelector::randomOtherZonePeer(const std::vector<DigestEntry> &Others) {
  struct KnownAddresses {
    std::vector<base::VmAddress> Relays_;
    std::vector<base::VmAddress> Listed_;
  };
  std::map<base::ZoneName, KnownAddresses> Zones;
  for (const DigestEntry &Entry : Others)
    Zones[Entry.Digest_.Zone_].Relays_ = Entry.Digest_.Relays_;
  for (const PlatformVm &Vm : List_)
    if (Vm.Zone_ != OwnZone_)
      Zones[Vm.Zone_].Listed_.push_back(Vm.Address_);
  if (Zones.empty())
    return {};
  const auto Zone = std::next(
      Zones.begin(), static_cast<std::ptrdiff_t>(Random_.below(Zones.size())));
  const KnownAddresses &Known = Zone->second;
  const bool UseList =
      Known.Relays_.empty() ||
      (!Known.Listed_.empty() && Random_.chance(PlatformListProbability));
  return pick(UseList ? Known.Listed_ : Known.Relays_);
}

} // namespace ebony::membership
