#include "steering/customerring.h"

#include "base/hashing.h"

#include <algorithm>
#include <tuple>

namespace ebony::steering {

namespace {

constexpr std::uint32_t PointsOfLargest = 64;
constexpr std::uint32_t WeightSteps = 8;
constexpr double LoadFactor = 1.25;

// Steps of an eighth of the largest keep the ring still while free capacity
// wavers; each VM has at least one step.
std::uint32_t weightOf(const RingMember &One, std::uint32_t Largest) {
  if (Largest == 0)
    return WeightSteps;
  const std::uint64_t Scaled =
      std::uint64_t{One.FreeCapacity_} * WeightSteps + Largest / 2;
  return std::max<std::uint32_t>(1,
                                 static_cast<std::uint32_t>(Scaled / Largest));
}

} // namespace

CustomerRing::CustomerRing(const std::vector<RingMember> &Members,
                           const std::vector<CustomerLoad> &Loads) {
  std::uint32_t Largest = 0;
  for (const RingMember &One : Members)
    Largest = std::max(Largest, One.FreeCapacity_);
  std::vector<double> Limits;
  double AllWeights = 0;
  for (const RingMember &One : Members) {
    const std::uint32_t Weight = weightOf(One, Largest);
    const auto Number = static_cast<std::uint32_t>(Vms_.size());
    Vms_.push_back(One.Vm_);
    Limits.push_back(Weight);
    AllWeights += Weight;
    for (std::uint32_t Index = 0;
         Index < PointsOfLargest / WeightSteps * Weight; ++Index)
      Points_.push_back({.Hash_ = base::stableHash(One.Vm_.text(), Index + 1),
                         .Member_ = Number});
  }
  std::sort(Points_.begin(), Points_.end(),
            [&](const Point &Left, const Point &Right) {
              return std::tie(Left.Hash_, Vms_[Left.Member_]) <
                     std::tie(Right.Hash_, Vms_[Right.Member_]);
            });
  double AllRates = 0;
  for (const CustomerLoad &One : Loads)
    AllRates += One.Rate_;
  for (double &Limit : Limits)
    Limit *= LoadFactor * AllRates / AllWeights;
  // In the order of hashes, so that the order of the records doesn't matter.
  std::vector<CustomerLoad> Sorted = Loads;
  std::sort(Sorted.begin(), Sorted.end(),
            [](const CustomerLoad &Left, const CustomerLoad &Right) {
              const std::uint64_t LeftHash =
                  base::stableHash(Left.Customer_.text());
              const std::uint64_t RightHash =
                  base::stableHash(Right.Customer_.text());
              return std::tie(LeftHash, Left.Customer_) <
                     std::tie(RightHash, Right.Customer_);
            });
  std::vector<double> Placed(Vms_.size(), 0);
  if (!Vms_.empty())
    for (const CustomerLoad &One : Sorted)
      place(One, Limits, Placed);
}

std::size_t CustomerRing::pointFrom(const base::CustomerName &Customer) const {
  const std::uint64_t Hash = base::stableHash(Customer.text());
  const auto Found =
      std::lower_bound(Points_.begin(), Points_.end(), Hash,
                       [](const Point &Left, std::uint64_t Right) {
                         return Left.Hash_ < Right;
                       });
  return static_cast<std::size_t>(Found - Points_.begin()) % Points_.size();
}

// Walks the ring and fills each VM up to its limit until the whole rate has a
// place. The limits add up to more than all rates, so that there is one.
void CustomerRing::place(const CustomerLoad &Load,
                         const std::vector<double> &Limits,
                         std::vector<double> &Placed) {
  std::vector<std::uint32_t> &Chosen = First_[Load.Customer_];
  double Left = Load.Rate_;
  const std::size_t Start = pointFrom(Load.Customer_);
  const bool FitsOne =
      Load.Rate_ <= *std::min_element(Limits.begin(), Limits.end());
  for (std::size_t Step = 0; Step < Points_.size(); ++Step) {
    const std::uint32_t Member =
        Points_[(Start + Step) % Points_.size()].Member_;
    if (std::find(Chosen.begin(), Chosen.end(), Member) != Chosen.end())
      continue;
    const double Room = Limits[Member] - Placed[Member];
    if (Room <= 0 || (FitsOne && Room < Left))
      continue;
    const double Share = std::min(Room, Left);
    Placed[Member] += Share;
    Chosen.push_back(Member);
    Left -= Share;
    if (Left <= 0)
      return;
  }
  if (Chosen.empty())
    Chosen.push_back(Points_[Start].Member_);
}

std::size_t
CustomerRing::firstChoices(const base::CustomerName &Customer) const {
  const auto Found = First_.find(Customer);
  return Found == First_.end() ? std::min<std::size_t>(1, Vms_.size())
                               : Found->second.size();
}

std::vector<base::VmAddress>
CustomerRing::preferredVms(const base::CustomerName &Customer,
                           std::uint64_t Spread, std::size_t Count) const {
  std::vector<base::VmAddress> Answer;
  if (Points_.empty())
    return Answer;
  Count = std::min(Count, Vms_.size());
  Answer.reserve(Count);
  const auto Add = [&](std::uint32_t Member) {
    const base::VmAddress &Vm = Vms_[Member];
    if (Answer.size() < Count &&
        std::find(Answer.begin(), Answer.end(), Vm) == Answer.end())
      Answer.push_back(Vm);
  };
  const auto Found = First_.find(Customer);
  if (Found != First_.end()) {
    const std::vector<std::uint32_t> &Chosen = Found->second;
    const std::size_t Offset = base::mixBits(Spread) % Chosen.size();
    for (std::size_t Index = 0; Index < Chosen.size(); ++Index)
      Add(Chosen[(Offset + Index) % Chosen.size()]);
  }
  const std::size_t Start = pointFrom(Customer);
  for (std::size_t Step = 0; Answer.size() < Count && Step < Points_.size();
       ++Step)
    Add(Points_[(Start + Step) % Points_.size()].Member_);
  return Answer;
}

} // namespace ebony::steering
