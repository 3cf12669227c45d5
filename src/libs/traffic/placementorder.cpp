#include "traffic/placementorder.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

/// Maps \p Hash to a number above 0 and below 1.
double toUnitInterval(std::uint64_t Hash) {
  constexpr double Scale = 1.0 / 9007199254740993.0; // 2^53 + 1
  return (static_cast<double>(Hash >> 11U) + 0.5) * Scale;
}

// Salt that makes the choice of the region independent of that of the upstream.
constexpr std::uint64_t RegionSalt = 0x9e3779b97f4a7c15ULL;

struct RankedUpstream {
  double Score_ = 0;
  bool IsPreferredRegion_ = false;
  const UpstreamPtr *Upstream_ = nullptr;

  bool precedes(const RankedUpstream &Other) const {
    if (IsPreferredRegion_ != Other.IsPreferredRegion_)
      return IsPreferredRegion_;
    return Score_ > Other.Score_;
  }
};

bool isAllowedRegion(const std::vector<base::RegionName> &HomeRegions,
                     const base::RegionName &Region) {
  return HomeRegions.empty() ||
         std::find(HomeRegions.begin(), HomeRegions.end(), Region) !=
             HomeRegions.end();
}

} // namespace

base::RegionName PlacementOrder::preferredRegion(const RegionSlots &Slots,
                                                 std::uint64_t ObjectHash,
                                                 double ExportedShare) const {
  double Total = 0;
  for (const auto &[Region, Count] : Slots)
    Total += Count;
  if (Total <= 0)
    return OwnRegion_;
  const double EvenSlots =
      Total / static_cast<double>(std::max(RegionCount_, Slots.size()));
  const auto OwnSlots = Slots.find(OwnRegion_);
  const double OwnShare =
      OwnSlots == Slots.end()
          ? 0
          : std::max(0.0, std::min(1.0, OwnSlots->second / EvenSlots) -
                              ExportedShare);
  double Position = toUnitInterval(base::mixBits(ObjectHash ^ RegionSalt));
  if (Position < OwnShare)
    return OwnRegion_;
  double SpareSlots = 0;
  for (const auto &[Region, Count] : Slots)
    if (Region != OwnRegion_)
      SpareSlots += std::max(0.0, Count - EvenSlots);
  if (SpareSlots <= 0)
    return OwnRegion_;
  Position = (Position - OwnShare) / (1 - OwnShare) * SpareSlots;
  for (const auto &[Region, Count] : Slots) {
    if (Region == OwnRegion_ || Count <= EvenSlots)
      continue;
    Position -= Count - EvenSlots;
    if (Position < 0)
      return Region;
  }
  return OwnRegion_;
}

SlotUsage PlacementOrder::usage(
    const UpstreamTable &Table, const base::ServiceName &Service,
    std::uint64_t ObjectHash, const std::vector<base::RegionName> &HomeRegions,
    base::TimePoint Now) const {
  const base::RegionName PreferredRegion =
      preferredRegion(Table.slots(Service), ObjectHash, exportedShare(Service));
  SlotUsage Preferred;
  SlotUsage All;
  bool HasPreferred = false;
  for (const UpstreamPtr &Upstream : Table.usable(Service)) {
    if (!isAllowedRegion(HomeRegions, Upstream->Region_) ||
        Upstream->isAvoided(Now))
      continue;
    All.add(*Upstream);
    if (Upstream->Region_ != PreferredRegion)
      continue;
    Preferred.add(*Upstream);
    HasPreferred = true;
  }
  return HasPreferred ? Preferred : All;
}

void PlacementOrder::balance(const UpstreamTable &Table,
                             const base::ServiceName &Service,
                             base::TimePoint Now) {
  const RegionSlots &Slots = Table.slots(Service);
  double Total = 0;
  for (const auto &[Region, Count] : Slots)
    Total += Count;
  const double EvenSlots =
      Total / static_cast<double>(std::max(RegionCount_, Slots.size()));
  SlotUsage Own;
  SlotUsage Others;
  for (const UpstreamPtr &Upstream : Table.usable(Service)) {
    if (Upstream->isAvoided(Now))
      continue;
    if (Upstream->Region_ == OwnRegion_)
      Own.add(*Upstream);
    else if (Slots.at(Upstream->Region_) > EvenSlots)
      Others.add(*Upstream);
  }
  Balancers_[Service].update(Own.share(), Others.share(), Now);
}

double PlacementOrder::exportedShare(const base::ServiceName &Service) const {
  const auto Entry = Balancers_.find(Service);
  return Entry == Balancers_.end() ? 0 : Entry->second.exportedShare();
}

std::vector<UpstreamPtr> PlacementOrder::order(
    const UpstreamTable &Table, const base::ServiceName &Service,
    std::uint64_t ObjectHash, const std::vector<base::RegionName> &HomeRegions,
    std::size_t MaxCount) const {
  const base::RegionName PreferredRegion =
      preferredRegion(Table.slots(Service), ObjectHash, exportedShare(Service));
  std::vector<RankedUpstream> Candidates;
  for (const UpstreamPtr &Upstream : Table.usable(Service)) {
    if (!isAllowedRegion(HomeRegions, Upstream->Region_))
      continue;
    const double Unit =
        toUnitInterval(base::mixBits(Upstream->NameHash_ ^ ObjectHash));
    Candidates.push_back({Upstream->Entry_.Slots_ / -std::log(Unit),
                          Upstream->Region_ == PreferredRegion, &Upstream});
  }
  const std::size_t Count = std::min(MaxCount, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                    Candidates.end(),
                    [](const RankedUpstream &A, const RankedUpstream &B) {
                      return A.precedes(B);
                    });
  std::vector<UpstreamPtr> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(*Candidates[I].Upstream_);
  return Result;
}

} // namespace ebony::traffic
