#include "traffic/customerratelimiter.h"

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

void CustomerRateLimiter::setRules(const TrafficRules &Rules,
                                   base::TimePoint Now) {
  for (const CustomerSettings &One : Rules.customers()) {
    const auto [Entry, IsNew] = Buckets_.try_emplace(One.Name_);
    Bucket &Own = Entry->second;
    if (IsNew)
      Own.RefilledAt_ = Now;
    refill(Own, Now);
    Own.Rate_ = One.RatePerSecond_;
    Own.Burst_ = One.Burst_;
  }
  applyShares(Now);
}

void CustomerRateLimiter::setPlan(const QuotaPlan &Plan, base::TimePoint Now) {
  if (Plan.Version_ <= Plan_.Version_)
    return;
  if (IsPlanActive_)
    Holders_.clear();
  Holders_.insert(Plan_.Vms_.begin(), Plan_.Vms_.end());
  Holders_.insert(Plan.Vms_.begin(), Plan.Vms_.end());
  Holders_.erase(OwnName_);
  Plan_ = Plan;
  PlanReceivedAt_ = Now;
  IsPlanActive_ = false;
  applyShares(Now);
}

void CustomerRateLimiter::activatePlan(const MemberTable &Members,
                                       base::TimePoint Now) {
  if (IsPlanActive_)
    return;
  const bool AllTookUp =
      std::all_of(Holders_.begin(), Holders_.end(), [&](const auto &Vm) {
        const MemberReport *Report = Members.find(Vm);
        return Report && Report->QuotaPlanVersion_ >= Plan_.Version_;
      });
  if (!AllTookUp && Now - PlanReceivedAt_ < StaleAfter_)
    return;
  IsPlanActive_ = true;
  applyShares(Now);
}

std::optional<base::Duration>
CustomerRateLimiter::acquireToken(const base::CustomerName &Customer,
                                  base::TimePoint Now) {
  const auto Entry = Buckets_.find(Customer);
  if (Entry == Buckets_.end())
    return std::nullopt;
  Bucket &Own = Entry->second;
  Own.Demand_ = fadedDemand(Own.Demand_, Now - Own.DemandUpdatedAt_) +
                1.0 / DemandSeconds;
  Own.DemandUpdatedAt_ = Now;
  return acquireFrom(Own, Now);
}

std::optional<base::Duration>
CustomerRateLimiter::lendToken(const base::CustomerName &Customer,
                               base::TimePoint Now) {
  const auto Entry = Buckets_.find(Customer);
  // Unknown here: its limit cannot be kept.
  if (Entry == Buckets_.end())
    return NoShareRetry;
  return acquireFrom(Entry->second, Now);
}

std::optional<base::Duration>
CustomerRateLimiter::acquireFrom(Bucket &Own, base::TimePoint Now) {
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

std::map<NameTag, double>
CustomerRateLimiter::demand(base::TimePoint Now) const {
  std::map<NameTag, double> Result;
  for (const auto &[Customer, Own] : Buckets_) {
    const double Demand = fadedDemand(Own.Demand_, Now - Own.DemandUpdatedAt_);
    if (Demand > 0.05)
      Result[tagOf(Customer.text())] = Demand;
  }
  return Result;
}

void CustomerRateLimiter::refill(Bucket &One, base::TimePoint Now) const {
  // A bucket holds at least one token, so that a small share is usable.
  const double Most =
      One.Share_ <= 0 ? 0.0 : std::max(1.0, One.Burst_ * One.Share_ * Overuse_);
  const double Gained = base::toSeconds(Now - One.RefilledAt_) * One.Rate_ *
                        One.Share_ * Overuse_;
  One.Tokens_ = std::min(One.Tokens_ + std::max(Gained, 0.0), Most);
  One.RefilledAt_ = Now;
}

void CustomerRateLimiter::applyShares(base::TimePoint Now) {
  for (auto &[Customer, Own] : Buckets_) {
    refill(Own, Now);
    double Share = 0;
    const auto Shares = Plan_.Customers_.find(Customer);
    if (Shares != Plan_.Customers_.end()) {
      const auto Mine = Shares->second.find(OwnName_);
      if (Mine != Shares->second.end())
        Share =
            IsPlanActive_ ? Mine->second.Share_ : Mine->second.TransitionShare_;
    }
    Own.Share_ = Share;
    refill(Own, Now);
  }
}

} // namespace ebony::traffic
