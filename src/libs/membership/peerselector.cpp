#include "membership/peerselector.h"

#include <map>
#include <utility>

namespace ebony::membership {

namespace {

// A digest whose relays are all replaced is mended by way of the list.
constexpr double ListShare = 0.25;

} // namespace

PeerSelector::PeerSelector(base::VmAddress Self, base::ZoneName OwnZone,
                           base::RandomEngine Random)
    : Self_(std::move(Self)), OwnZone_(std::move(OwnZone)), Random_(Random) {}

base::VmAddress PeerSelector::pick(const std::vector<base::VmAddress> &From) {
  return From.empty() ? base::VmAddress() : From[Random_.below(From.size())];
}

base::VmAddress PeerSelector::strangerOfOwnZone(const ZoneView &View) {
  std::vector<base::VmAddress> Strangers;
  for (const PlatformVm &One : List_) {
    if (One.Zone_ != OwnZone_ || One.Address_ == Self_)
      continue;
    const ZoneMember *Known = View.find(One.Address_);
    if (!Known || !Known->IsLive_)
      Strangers.push_back(One.Address_);
  }
  return pick(Strangers);
}

base::VmAddress
PeerSelector::otherZone(const std::vector<DigestEntry> &Others) {
  struct Ways {
    std::vector<base::VmAddress> Relays_;
    std::vector<base::VmAddress> Listed_;
  };
  std::map<base::ZoneName, Ways> Zones;
  for (const DigestEntry &One : Others)
    Zones[One.Digest_.Zone_].Relays_ = One.Digest_.Relays_;
  for (const PlatformVm &One : List_)
    if (One.Zone_ != OwnZone_)
      Zones[One.Zone_].Listed_.push_back(One.Address_);
  if (Zones.empty())
    return {};
  const auto Zone = std::next(
      Zones.begin(), static_cast<std::ptrdiff_t>(Random_.below(Zones.size())));
  const Ways &Known = Zone->second;
  const bool UseList = Known.Relays_.empty() ||
                       (!Known.Listed_.empty() && Random_.chance(ListShare));
  return pick(UseList ? Known.Listed_ : Known.Relays_);
}

} // namespace ebony::membership
