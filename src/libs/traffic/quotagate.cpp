#include "traffic/quotagate.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

// Time over which demand is smoothed.
constexpr double DemandSeconds = 2.0;

constexpr base::Duration NoShareRetry = std::chrono::seconds(1);

double fadedDemand(double Demand, base::Duration Since) {
  return Demand * std::exp(-base::toSeconds(Since) / DemandSeconds);
}

} // namespace

void QuotaGate::setRules(const TrafficRules &Rules, base::TimePoint Now) {
  for (const CustomerTerms &One : Rules.customers()) {
    const auto [Entry, IsNew] = Buckets_.try_emplace(One.Name_);
    Bucket &Own = Entry->second;
    if (IsNew)
      Own.Filled_ = Now;
    refill(Own, Now);
    Own.Rate_ = One.RatePerSecond_;
    Own.Burst_ = One.Burst_;
  }
  applyShares(Now);
}

void QuotaGate::setPlan(const QuotaPlan &Plan, base::TimePoint Now) {
  if (Plan.Version_ <= Plan_.Version_)
    return;
  if (IsSettled_)
    Holders_.clear();
  Holders_.insert(Plan_.Vms_.begin(), Plan_.Vms_.end());
  Holders_.insert(Plan.Vms_.begin(), Plan.Vms_.end());
  Holders_.erase(OwnName_);
  Plan_ = Plan;
  PlanSeen_ = Now;
  IsSettled_ = false;
  applyShares(Now);
}

void QuotaGate::settle(const MemberTable &Members, base::TimePoint Now) {
  if (IsSettled_)
    return;
  const bool AllTookUp =
      std::all_of(Holders_.begin(), Holders_.end(), [&](const auto &Vm) {
        const MemberReport *Report = Members.find(Vm);
        return Report && Report->QuotaPlan_ >= Plan_.Version_;
      });
  if (!AllTookUp && Now - PlanSeen_ < StaleAfter_)
    return;
  IsSettled_ = true;
  applyShares(Now);
}

std::optional<base::Duration>
QuotaGate::refuseFor(const base::CustomerName &Customer, base::TimePoint Now) {
  const auto Entry = Buckets_.find(Customer);
  if (Entry == Buckets_.end())
    return std::nullopt;
  Bucket &Own = Entry->second;
  Own.Demand_ =
      fadedDemand(Own.Demand_, Now - Own.DemandAt_) + 1.0 / DemandSeconds;
  Own.DemandAt_ = Now;
  return takeFrom(Own, Now);
}

std::optional<base::Duration>
QuotaGate::lend(const base::CustomerName &Customer, base::TimePoint Now) {
  const auto Entry = Buckets_.find(Customer);
  // Unknown here: its limit cannot be kept.
  if (Entry == Buckets_.end())
    return NoShareRetry;
  return takeFrom(Entry->second, Now);
}

std::optional<base::Duration> QuotaGate::takeFrom(Bucket &Own,
                                                  base::TimePoint Now) {
  if (Own.Rate_ <= 0)
    return std::nullopt;
  refill(Own, Now);
  if (Own.Tokens_ >= 1) {
    Own.Tokens_ -= 1;
    return std::nullopt;
  }
  const double PerSecond = Own.Rate_ * Own.Share_ * Overuse_;
  if (PerSecond <= 0)
    return NoShareRetry;
  return base::fromSeconds(
      std::clamp((1 - Own.Tokens_) / PerSecond, 0.05, 2.0));
}

std::map<NameTag, double> QuotaGate::demand(base::TimePoint Now) const {
  std::map<NameTag, double> Result;
  for (const auto &[Customer, Own] : Buckets_) {
    const double Demand = fadedDemand(Own.Demand_, Now - Own.DemandAt_);
    if (Demand > 0.05)
      Result[tagOf(Customer.text())] = Demand;
  }
  return Result;
}

void QuotaGate::refill(Bucket &One, base::TimePoint Now) const {
  // A bucket holds at least one token, so that a small share is usable.
  const double Most =
      One.Share_ <= 0 ? 0.0 : std::max(1.0, One.Burst_ * One.Share_ * Overuse_);
  const double Gained =
      base::toSeconds(Now - One.Filled_) * One.Rate_ * One.Share_ * Overuse_;
  One.Tokens_ = std::min(One.Tokens_ + std::max(Gained, 0.0), Most);
  One.Filled_ = Now;
}

void QuotaGate::applyShares(base::TimePoint Now) {
  for (auto &[Customer, Own] : Buckets_) {
    refill(Own, Now);
    double Share = 0;
    const auto Shares = Plan_.Customers_.find(Customer);
    if (Shares != Plan_.Customers_.end()) {
      const auto Mine = Shares->second.find(OwnName_);
      if (Mine != Shares->second.end())
        Share = IsSettled_ ? Mine->second.Share_ : Mine->second.Safe_;
    }
    Own.Share_ = Share;
    refill(Own, Now);
  }
}

} // namespace ebony::traffic
