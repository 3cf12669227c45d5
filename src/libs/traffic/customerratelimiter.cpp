#include "traffic/customerratelimiter.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

// Time constant for smoothing demand.
constexpr double DemandSeconds = 2.0;

constexpr base::Duration NoShareRetry = std::chrono::seconds(1);

double decayedDemand(double Demand, base::Duration Since) {
  return Demand * std::exp(-base::toSeconds(Since) / DemandSeconds);
}

} // namespace

void CustomerRateLimiter::setRules(const TrafficRules &Rules,
                                   base::TimePoint Now) {
  for (const CustomerSettings &Customer : Rules.customers()) {
    const auto [Entry, IsNew] = Buckets_.try_emplace(Customer.Name_);
    Bucket &CustomerBucket = Entry->second;
    if (IsNew)
      CustomerBucket.RefilledAt_ = Now;
    refill(CustomerBucket, Now);
    CustomerBucket.Rate_ = Customer.RatePerSecond_;
    CustomerBucket.Burst_ = Customer.Burst_;
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
  const bool AllAcknowledged =
      std::all_of(Holders_.begin(), Holders_.end(), [&](const auto &Vm) {
        const MemberReport *Report = Members.find(Vm);
        return Report && Report->QuotaPlanVersion_ >= Plan_.Version_;
      });
  if (!AllAcknowledged && Now - PlanReceivedAt_ < StaleAfter_)
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
  Bucket &CustomerBucket = Entry->second;
  CustomerBucket.Demand_ =
      decayedDemand(CustomerBucket.Demand_,
                    Now - CustomerBucket.DemandUpdatedAt_) +
      1.0 / DemandSeconds;
  CustomerBucket.DemandUpdatedAt_ = Now;
  return acquireFrom(CustomerBucket, Now);
}

std::optional<base::Duration>
CustomerRateLimiter::lendToken(const base::CustomerName &Customer,
                               base::TimePoint Now) {
  const auto Entry = Buckets_.find(Customer);
  // The customer is unknown here, so its limit cannot be enforced.
  if (Entry == Buckets_.end())
    return NoShareRetry;
  return acquireFrom(Entry->second, Now);
}

std::optional<base::Duration>
CustomerRateLimiter::acquireFrom(Bucket &CustomerBucket, base::TimePoint Now) {
  if (CustomerBucket.Rate_ <= 0)
    return std::nullopt;
  refill(CustomerBucket, Now);
  if (CustomerBucket.Tokens_ >= 1) {
    CustomerBucket.Tokens_ -= 1;
    return std::nullopt;
  }
  const double PerSecond =
      CustomerBucket.Rate_ * CustomerBucket.Share_ * Overuse_;
  if (PerSecond <= 0)
    return NoShareRetry;
  return base::fromSeconds(
      std::clamp((1 - CustomerBucket.Tokens_) / PerSecond, 0.05, 2.0));
}

std::map<NameTag, double>
CustomerRateLimiter::demand(base::TimePoint Now) const {
  std::map<NameTag, double> Result;
  for (const auto &[Customer, CustomerBucket] : Buckets_) {
    const double Demand = decayedDemand(CustomerBucket.Demand_,
                                        Now - CustomerBucket.DemandUpdatedAt_);
    if (Demand > 0.05)
      Result[tagOf(Customer.text())] = Demand;
  }
  return Result;
}

void CustomerRateLimiter::refill(Bucket &CustomerBucket,
                                 base::TimePoint Now) const {
  // A bucket holds at least one token, so that a small share is usable.
  const double Capacity =
      CustomerBucket.Share_ <= 0
          ? 0.0
          : std::max(1.0,
                     CustomerBucket.Burst_ * CustomerBucket.Share_ * Overuse_);
  const double Gained = base::toSeconds(Now - CustomerBucket.RefilledAt_) *
                        CustomerBucket.Rate_ * CustomerBucket.Share_ * Overuse_;
  CustomerBucket.Tokens_ =
      std::min(CustomerBucket.Tokens_ + std::max(Gained, 0.0), Capacity);
  CustomerBucket.RefilledAt_ = Now;
}

void CustomerRateLimiter::applyShares(base::TimePoint Now) {
  for (auto &[Customer, CustomerBucket] : Buckets_) {
    refill(CustomerBucket, Now);
    double Share = 0;
    const auto Shares = Plan_.Customers_.find(Customer);
    if (Shares != Plan_.Customers_.end()) {
      const auto OwnShare = Shares->second.find(OwnName_);
      if (OwnShare != Shares->second.end())
        Share = IsPlanActive_ ? OwnShare->second.Share_
                              : OwnShare->second.TransitionShare_;
    }
    CustomerBucket.Share_ = Share;
    refill(CustomerBucket, Now);
  }
}

} // namespace ebony::traffic
