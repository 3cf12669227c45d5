#include "traffic/placementorder.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

/// Number over 0 and below 1 made from \p Hash.
double unitOf(std::uint64_t Hash) {
  constexpr double Scale = 1.0 / 9007199254740993.0; // 2^53 + 1
  return (static_cast<double>(Hash >> 11U) + 0.5) * Scale;
}

// Salt that keeps the choice of the region apart from that of the upstream.
constexpr std::uint64_t RegionSalt = 0x9e3779b97f4a7c15ULL;

struct Ranked {
  double Score_ = 0;
  bool IsFirstRegion_ = false;
  const UpstreamPtr *Upstream_ = nullptr;

  bool precedes(const Ranked &Other) const {
    if (IsFirstRegion_ != Other.IsFirstRegion_)
      return IsFirstRegion_;
    return Score_ > Other.Score_;
  }
};

bool isHome(const std::vector<base::RegionName> &Homes,
            const base::RegionName &Region) {
  return Homes.empty() ||
         std::find(Homes.begin(), Homes.end(), Region) != Homes.end();
}

} // namespace

base::RegionName PlacementOrder::firstRegion(const RegionSlots &Slots,
                                             std::uint64_t ObjectHash) const {
  double Total = 0;
  for (const auto &[Region, Count] : Slots)
    Total += Count;
  if (Total <= 0)
    return Own_;
  const double Even =
      Total / static_cast<double>(std::max(RegionCount_, Slots.size()));
  const auto OwnSlots = Slots.find(Own_);
  const double Kept =
      OwnSlots == Slots.end() ? 0 : std::min(1.0, OwnSlots->second / Even);
  double Point = unitOf(base::mixBits(ObjectHash ^ RegionSalt));
  if (Point < Kept)
    return Own_;
  double Spare = 0;
  for (const auto &[Region, Count] : Slots)
    if (Region != Own_)
      Spare += std::max(0.0, Count - Even);
  if (Spare <= 0)
    return Own_;
  Point = (Point - Kept) / (1 - Kept) * Spare;
  for (const auto &[Region, Count] : Slots) {
    if (Region == Own_ || Count <= Even)
      continue;
    Point -= Count - Even;
    if (Point < 0)
      return Region;
  }
  return Own_;
}

std::vector<UpstreamPtr> PlacementOrder::order(
    const UpstreamTable &Table, const base::ServiceName &Service,
    std::uint64_t ObjectHash, const std::vector<base::RegionName> &Homes,
    std::size_t Most) const {
  const base::RegionName First = firstRegion(Table.slots(Service), ObjectHash);
  std::vector<Ranked> All;
  for (const UpstreamPtr &One : Table.usable(Service)) {
    if (!isHome(Homes, One->Region_))
      continue;
    const double Unit = unitOf(base::mixBits(One->NameHash_ ^ ObjectHash));
    All.push_back(
        {One->Entry_.Slots_ / -std::log(Unit), One->Region_ == First, &One});
  }
  const std::size_t Count = std::min(Most, All.size());
  std::partial_sort(
      All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Count), All.end(),
      [](const Ranked &A, const Ranked &B) { return A.precedes(B); });
  std::vector<UpstreamPtr> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(*All[I].Upstream_);
  return Result;
}

} // namespace ebony::traffic
