#include "traffic/quotaplanner.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Part of a rate that is divided evenly between the regions, so that one that
// has seen no demand can serve the first callers.
constexpr double EvenPart = 0.3;

// VMs of a region that hold a part of a customer's rate. One would take the
// whole region's part with it when it ends; more split small rates too finely.
constexpr std::size_t HoldersPerRegion = 2;

// A region is pressed when demand passes this part of its share of the rate.
constexpr double Pressed = 0.8;

// A change is worth a write when a pressed region gains by this factor.
constexpr double LeastGain = 1.15;

// Demand in requests a second below which a VM counts as idle.
constexpr double Idle = 0.05;

double demandOf(const MemberReport &Report,
                const base::CustomerName &Customer) {
  const auto Entry = Report.Demand_.find(tagOf(Customer.text()));
  return Entry == Report.Demand_.end() ? Idle : Entry->second + Idle;
}

/// One region's part of a customer's rate.
struct RegionPart {
  std::vector<std::string> Holders_;
  double Demand_ = 0;
  double Share_ = 0;
};

std::uint64_t rank(const std::string &Vm, const base::CustomerName &Customer) {
  return base::mixBits(base::stableHash(Vm) ^
                       base::stableHash(Customer.text()));
}

/// Divides a customer's rate between the regions by demand. The holders are
/// drawn by hash, so that few change when a VM comes or goes and the VMs hold
/// about as many customers each.
std::vector<RegionPart> divide(const std::vector<const MemberReport *> &Vms,
                               const base::CustomerName &Customer) {
  std::map<base::RegionName, RegionPart> Regions;
  double Total = 0;
  for (const MemberReport *One : Vms) {
    RegionPart &Own = Regions[One->Region_];
    Own.Holders_.push_back(One->Name_);
    Own.Demand_ += demandOf(*One, Customer);
    Total += demandOf(*One, Customer);
  }
  std::vector<RegionPart> Result;
  for (auto &[Name, Own] : Regions) {
    std::sort(Own.Holders_.begin(), Own.Holders_.end(),
              [&Customer](const std::string &A, const std::string &B) {
                return rank(A, Customer) < rank(B, Customer);
              });
    Own.Holders_.resize(std::min(Own.Holders_.size(), HoldersPerRegion));
    Own.Share_ = EvenPart / static_cast<double>(Regions.size()) +
                 (1 - EvenPart) * Own.Demand_ / Total;
    Result.push_back(std::move(Own));
  }
  return Result;
}

double shareOf(const QuotaShares &Shares, const std::string &Vm) {
  const auto Entry = Shares.find(Vm);
  return Entry == Shares.end() ? 0 : Entry->second.Share_;
}

} // namespace

std::optional<QuotaPlan> QuotaPlanner::planNext(const QuotaPlan &Present,
                                                const TrafficRules &Rules,
                                                const MemberReport &Own,
                                                const MemberTable &Members,
                                                base::TimePoint Now) {
  std::vector<const MemberReport *> Vms = Members.live(Now);
  Vms.push_back(&Own);
  for (const MemberReport *One : Vms)
    LastLive_.try_emplace(One->Name_, Now).first->second = Now;
  std::erase_if(Vms, [](const MemberReport *One) { return One->IsLeaving_; });
  // VMs that fell silent a moment ago keep their place.
  for (const auto &[Name, Seen] : LastLive_) {
    const MemberReport *Report = Members.find(Name);
    if (Report && !Members.isLive(Name, Now) && Now - Seen <= MemberTimeout_)
      Vms.push_back(Report);
  }
  // A VM that was given a share but never heard of may still use it.
  for (const auto &[Customer, Shares] : Present.Customers_)
    for (const auto &[Name, Share] : Shares)
      if (Name != Own.Name_ && !Members.find(Name) &&
          Now - LastLive_.try_emplace(Name, Now).first->second <=
              MemberTimeout_)
        return std::nullopt;
  if (Vms.empty())
    return std::nullopt;

  QuotaPlan Next;
  Next.Version_ = Present.Version_ + 1;
  bool IsWorthwhile = Present.Version_ == 0;
  for (const CustomerSettings &Customer : Rules.customers()) {
    if (Customer.RatePerSecond_ <= 0)
      continue;
    const auto Known = Present.Customers_.find(Customer.Name_);
    const QuotaShares Before =
        Known == Present.Customers_.end() ? QuotaShares() : Known->second;
    const std::vector<RegionPart> Regions = divide(Vms, Customer.Name_);
    QuotaShares &After = Next.Customers_[Customer.Name_];
    for (const RegionPart &Region : Regions) {
      double Had = 0;
      for (const std::string &Holder : Region.Holders_) {
        const double HolderHad = shareOf(Before, Holder);
        const double Share =
            Region.Share_ / static_cast<double>(Region.Holders_.size());
        Had += HolderHad;
        IsWorthwhile = IsWorthwhile || HolderHad <= 0;
        After[Holder] = {Share,
                         Before.empty() ? Share : std::min(Share, HolderHad)};
      }
      if (Region.Demand_ > Pressed * Had * Customer.RatePerSecond_ &&
          Region.Share_ > LeastGain * Had)
        IsWorthwhile = true;
    }
    IsWorthwhile = IsWorthwhile || Before.size() != After.size();
  }
  if (!IsWorthwhile || Next.Customers_.empty())
    return std::nullopt;
  Next.Vms_ = Present.holders();
  Next.Vms_.merge(Next.holders());
  return Next;
}

} // namespace ebony::traffic
