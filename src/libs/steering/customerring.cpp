#include "steering/customerring.h"

#include "base/hashing.h"

#include <algorithm>
#include <tuple>

namespace ebony::steering {

namespace {

constexpr std::uint32_t MaxPointsPerVm = 64;
constexpr std::uint32_t WeightSteps = 8;
constexpr double LoadFactor = 1.25;

// Weights are in steps of an eighth of the largest free capacity, so that small
// changes of capacity leave the ring unchanged. Each VM has at least one step.
std::uint32_t weightOf(const RingMember &Member,
                       std::uint32_t LargestCapacity) {
  if (LargestCapacity == 0)
    return WeightSteps;
  const std::uint64_t Scaled =
      std::uint64_t{Member.FreeCapacity_} * WeightSteps + LargestCapacity / 2;
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(Scaled / LargestCapacity));
}

} // namespace

CustomerRing::CustomerRing(const std::vector<RingMember> &Members,
                           const std::vector<CustomerLoad> &Loads) {
  std::uint32_t LargestCapacity = 0;
  for (const RingMember &Member : Members)
    LargestCapacity = std::max(LargestCapacity, Member.FreeCapacity_);
  std::vector<double> Limits;
  double TotalWeight = 0;
  for (const RingMember &Member : Members) {
    const std::uint32_t Weight = weightOf(Member, LargestCapacity);
    const auto MemberIndex = static_cast<std::uint32_t>(Vms_.size());
    Vms_.push_back(Member.Vm_);
    Limits.push_back(Weight);
    TotalWeight += Weight;
    for (std::uint32_t Index = 0; Index < MaxPointsPerVm / WeightSteps * Weight;
         ++Index)
      Points_.push_back(
          {.Hash_ = base::stableHash(Member.Vm_.text(), Index + 1),
           .Member_ = MemberIndex});
  }
  std::sort(Points_.begin(), Points_.end(),
            [&](const Point &Left, const Point &Right) {
              return std::tie(Left.Hash_, Vms_[Left.Member_]) <
                     std::tie(Right.Hash_, Vms_[Right.Member_]);
            });
  double TotalRate = 0;
  for (const CustomerLoad &Load : Loads)
    TotalRate += Load.Rate_;
  for (double &Limit : Limits)
    Limit *= LoadFactor * TotalRate / TotalWeight;
  // Sorted by hash, so that the order of the records doesn't matter.
  std::vector<CustomerLoad> SortedLoads = Loads;
  std::sort(SortedLoads.begin(), SortedLoads.end(),
            [](const CustomerLoad &Left, const CustomerLoad &Right) {
              const std::uint64_t LeftHash =
                  base::stableHash(Left.Customer_.text());
              const std::uint64_t RightHash =
                  base::stableHash(Right.Customer_.text());
              return std::tie(LeftHash, Left.Customer_) <
                     std::tie(RightHash, Right.Customer_);
            });
  std::vector<double> AssignedRates(Vms_.size(), 0);
  if (!Vms_.empty())
    for (const CustomerLoad &Load : SortedLoads)
      assignRate(Load, Limits, AssignedRates);
}

std::size_t
CustomerRing::firstPointFor(const base::CustomerName &Customer) const {
  const std::uint64_t Hash = base::stableHash(Customer.text());
  const auto Found =
      std::lower_bound(Points_.begin(), Points_.end(), Hash,
                       [](const Point &Left, std::uint64_t Right) {
                         return Left.Hash_ < Right;
                       });
  return static_cast<std::size_t>(Found - Points_.begin()) % Points_.size();
}

// Walks the ring and fills each VM up to its limit until the whole rate is
// assigned. The limits add up to more than the total rate, so that there is
// enough capacity.
void CustomerRing::assignRate(const CustomerLoad &Load,
                              const std::vector<double> &Limits,
                              std::vector<double> &AssignedRates) {
  std::vector<std::uint32_t> &Chosen = FirstChoices_[Load.Customer_];
  double Remaining = Load.Rate_;
  const std::size_t Start = firstPointFor(Load.Customer_);
  const bool FitsAnyVm =
      Load.Rate_ <= *std::min_element(Limits.begin(), Limits.end());
  for (std::size_t Step = 0; Step < Points_.size(); ++Step) {
    const std::uint32_t Member =
        Points_[(Start + Step) % Points_.size()].Member_;
    if (std::find(Chosen.begin(), Chosen.end(), Member) != Chosen.end())
      continue;
    const double Headroom = Limits[Member] - AssignedRates[Member];
    if (Headroom <= 0 || (FitsAnyVm && Headroom < Remaining))
      continue;
    const double Share = std::min(Headroom, Remaining);
    AssignedRates[Member] += Share;
    Chosen.push_back(Member);
    Remaining -= Share;
    if (Remaining <= 0)
      return;
  }
  if (Chosen.empty())
    Chosen.push_back(Points_[Start].Member_);
}

std::size_t
CustomerRing::firstChoiceCount(const base::CustomerName &Customer) const {
  const auto Found = FirstChoices_.find(Customer);
  return Found == FirstChoices_.end() ? std::min<std::size_t>(1, Vms_.size())
                                      : Found->second.size();
}

std::vector<base::VmAddress>
CustomerRing::preferredVms(const base::CustomerName &Customer,
                           std::uint64_t CallerKey, std::size_t Count) const {
  std::vector<base::VmAddress> Preferred;
  if (Points_.empty())
    return Preferred;
  Count = std::min(Count, Vms_.size());
  Preferred.reserve(Count);
  const auto AddVm = [&](std::uint32_t Member) {
    const base::VmAddress &Vm = Vms_[Member];
    if (Preferred.size() < Count &&
        std::find(Preferred.begin(), Preferred.end(), Vm) == Preferred.end())
      Preferred.push_back(Vm);
  };
  const auto Found = FirstChoices_.find(Customer);
  if (Found != FirstChoices_.end()) {
    const std::vector<std::uint32_t> &Chosen = Found->second;
    const std::size_t Offset = base::mixBits(CallerKey) % Chosen.size();
    for (std::size_t Index = 0; Index < Chosen.size(); ++Index)
      AddVm(Chosen[(Offset + Index) % Chosen.size()]);
  }
  const std::size_t Start = firstPointFor(Customer);
  for (std::size_t Step = 0; Preferred.size() < Count && Step < Points_.size();
       ++Step)
    AddVm(Points_[(Start + Step) % Points_.size()].Member_);
  return Preferred;
}

} // namespace ebony::steering
