#include "traffic/quotaplanner.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Fraction of a rate that is divided evenly between the regions, so that a
// region without previous demand can serve its first callers.
constexpr double EvenShare = 0.3;

// VMs of a region that hold a share of a customer's rate. With one, the region
// would lose its share when that VM stops; more would split small rates too
// far.
constexpr std::size_t HoldersPerRegion = 2;

// A region is short of quota when demand exceeds this fraction of its share.
constexpr double ShortageThreshold = 0.8;

// A new plan is written if it raises the share of a region that is short of
// quota by more than this factor.
constexpr double MinShareIncrease = 1.15;

// Demand in requests per second that is added to each VM's, so that no total is
// zero.
constexpr double BaseDemand = 0.05;

double demandOf(const MemberReport &Report,
                const base::CustomerName &Customer) {
  const auto Entry = Report.Demand_.find(tagOf(Customer.text()));
  return Entry == Report.Demand_.end() ? BaseDemand
                                       : Entry->second + BaseDemand;
}

/// One region's share of a customer's rate.
struct RegionShare {
  std::vector<std::string> Holders_;
  double Demand_ = 0;
  double Share_ = 0;
};

std::uint64_t holderHash(const std::string &Vm,
                         const base::CustomerName &Customer) {
  return base::mixBits(base::stableHash(Vm) ^
                       base::stableHash(Customer.text()));
}

/// Divides a customer's rate between the regions by demand. Holders are chosen
/// by hash, so that few change when a VM joins or leaves and the customers are
/// spread evenly over the VMs.
std::vector<RegionShare>
divideByRegion(const std::vector<const MemberReport *> &Vms,
               const base::CustomerName &Customer) {
  std::map<base::RegionName, RegionShare> Regions;
  double Total = 0;
  for (const MemberReport *Vm : Vms) {
    RegionShare &Region = Regions[Vm->Region_];
    Region.Holders_.push_back(Vm->Name_);
    Region.Demand_ += demandOf(*Vm, Customer);
    Total += demandOf(*Vm, Customer);
  }
  std::vector<RegionShare> Result;
  for (auto &[Name, Region] : Regions) {
    std::sort(Region.Holders_.begin(), Region.Holders_.end(),
              [&Customer](const std::string &A, const std::string &B) {
                return holderHash(A, Customer) < holderHash(B, Customer);
              });
    Region.Holders_.resize(std::min(Region.Holders_.size(), HoldersPerRegion));
    Region.Share_ = EvenShare / static_cast<double>(Regions.size()) +
                    (1 - EvenShare) * Region.Demand_ / Total;
    Result.push_back(std::move(Region));
  }
  return Result;
}

double shareOf(const QuotaShares &Shares, const std::string &Vm) {
  const auto Entry = Shares.find(Vm);
  return Entry == Shares.end() ? 0 : Entry->second.Share_;
}

} // namespace

std::optional<QuotaPlan> QuotaPlanner::planNext(const QuotaPlan &Current,
                                                const TrafficRules &Rules,
                                                const MemberReport &OwnReport,
                                                const MemberTable &Members,
                                                base::TimePoint Now) {
  std::vector<const MemberReport *> Vms = Members.live(Now);
  Vms.push_back(&OwnReport);
  for (const MemberReport *Vm : Vms)
    LastLive_.try_emplace(Vm->Name_, Now).first->second = Now;
  std::erase_if(Vms, [](const MemberReport *Vm) { return Vm->IsLeaving_; });
  // VMs that stopped reporting recently keep their shares.
  for (const auto &[Name, LastSeen] : LastLive_) {
    const MemberReport *Report = Members.find(Name);
    if (Report && !Members.isLive(Name, Now) &&
        Now - LastSeen <= MemberTimeout_)
      Vms.push_back(Report);
  }
  // A VM that holds a share but has not reported yet may still use it.
  for (const auto &[Customer, Shares] : Current.Customers_)
    for (const auto &[Name, Share] : Shares)
      if (Name != OwnReport.Name_ && !Members.find(Name) &&
          Now - LastLive_.try_emplace(Name, Now).first->second <=
              MemberTimeout_)
        return std::nullopt;
  if (Vms.empty())
    return std::nullopt;

  QuotaPlan Next;
  Next.Version_ = Current.Version_ + 1;
  bool IsChangeNeeded = Current.Version_ == 0;
  for (const CustomerSettings &Customer : Rules.customers()) {
    if (Customer.RatePerSecond_ <= 0)
      continue;
    const auto Existing = Current.Customers_.find(Customer.Name_);
    const QuotaShares PreviousShares =
        Existing == Current.Customers_.end() ? QuotaShares() : Existing->second;
    const std::vector<RegionShare> Regions =
        divideByRegion(Vms, Customer.Name_);
    QuotaShares &NewShares = Next.Customers_[Customer.Name_];
    for (const RegionShare &Region : Regions) {
      double PreviousShare = 0;
      for (const std::string &Holder : Region.Holders_) {
        const double HolderPreviousShare = shareOf(PreviousShares, Holder);
        const double Share =
            Region.Share_ / static_cast<double>(Region.Holders_.size());
        PreviousShare += HolderPreviousShare;
        IsChangeNeeded = IsChangeNeeded || HolderPreviousShare <= 0;
        NewShares[Holder] = {Share, PreviousShares.empty()
                                        ? Share
                                        : std::min(Share, HolderPreviousShare)};
      }
      if (Region.Demand_ >
              ShortageThreshold * PreviousShare * Customer.RatePerSecond_ &&
          Region.Share_ > MinShareIncrease * PreviousShare)
        IsChangeNeeded = true;
    }
    IsChangeNeeded =
        IsChangeNeeded || PreviousShares.size() != NewShares.size();
  }
  if (!IsChangeNeeded || Next.Customers_.empty())
    return std::nullopt;
  Next.Vms_ = Current.holders();
  Next.Vms_.merge(Next.holders());
  return Next;
}

} // namespace ebony::traffic
