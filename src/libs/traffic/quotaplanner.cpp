#include "traffic/quotaplanner.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Part of a rate that is divided evenly, so that a VM that has seen no demand
// can serve the first callers.
constexpr double EvenPart = 0.3;

// A VM is pressed when demand passes this part of its share of the rate.
constexpr double Pressed = 0.8;

// A change is worth a write when a pressed VM gains by this factor.
constexpr double LeastGain = 1.15;

// Demand in requests a second below which a VM counts as idle.
constexpr double Idle = 0.05;

double demandOf(const MemberReport &Report,
                const base::CustomerName &Customer) {
  const auto Entry = Report.Demand_.find(Customer);
  return Entry == Report.Demand_.end() ? Idle : Entry->second + Idle;
}

double shareOf(const QuotaShares &Shares, const std::string &Vm) {
  const auto Entry = Shares.find(Vm);
  return Entry == Shares.end() ? 0 : Entry->second.Share_;
}

} // namespace

std::optional<QuotaPlan> QuotaPlanner::next(const QuotaPlan &Present,
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
    if (Report && !Members.isLive(Name, Now) && Now - Seen <= GoneAfter_)
      Vms.push_back(Report);
  }
  // A VM that was given a share but never heard of may still use it.
  for (const auto &[Customer, Shares] : Present.Customers_)
    for (const auto &[Name, Share] : Shares)
      if (Name != Own.Name_ && !Members.find(Name) &&
          Now - LastLive_.try_emplace(Name, Now).first->second <= GoneAfter_)
        return std::nullopt;
  if (Vms.empty())
    return std::nullopt;

  QuotaPlan Next;
  Next.Version_ = Present.Version_ + 1;
  bool IsWorthwhile = Present.Version_ == 0;
  for (const CustomerTerms &Customer : Rules.customers()) {
    if (Customer.RatePerSecond_ <= 0)
      continue;
    const auto Known = Present.Customers_.find(Customer.Name_);
    const QuotaShares Before =
        Known == Present.Customers_.end() ? QuotaShares() : Known->second;
    IsWorthwhile = IsWorthwhile || Known == Present.Customers_.end() ||
                   Before.size() != Vms.size();
    double Total = 0;
    for (const MemberReport *One : Vms)
      Total += demandOf(*One, Customer.Name_);
    QuotaShares &After = Next.Customers_[Customer.Name_];
    for (const MemberReport *One : Vms) {
      const double Demand = demandOf(*One, Customer.Name_);
      const double Share = EvenPart / static_cast<double>(Vms.size()) +
                           (1 - EvenPart) * Demand / Total;
      const double Had = shareOf(Before, One->Name_);
      After[One->Name_] = {Share,
                           Before.empty() ? Share : std::min(Share, Had)};
      if (Had <= 0 || (Demand > Pressed * Had * Customer.RatePerSecond_ &&
                       Share > LeastGain * Had))
        IsWorthwhile = true;
    }
  }
  if (!IsWorthwhile || Next.Customers_.empty())
    return std::nullopt;
  return Next;
}

} // namespace ebony::traffic
