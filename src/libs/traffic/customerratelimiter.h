#ifndef EBONY_TRAFFIC_CUSTOMERRATELIMITER_H
#define EBONY_TRAFFIC_CUSTOMERRATELIMITER_H

#include "base/time.h"
#include "traffic/membertable.h"
#include "traffic/quotaplan.h"
#include "traffic/trafficrules.h"

#include <optional>
#include <set>

namespace ebony::traffic {

/// Admits the requests of each customer at one VM by its share of the
/// customer's rate and burst.
///
/// Load pattern: one customer at eight times its rate on any set of VMs, VMs
/// killed or cut off, limits lowered.
///
/// The shares of all VMs never sum past the whole: a lower share counts at
/// once, a higher one when every other holder has told that it took the plan
/// up, or when a holder that did not would have stopped serving customers by
/// itself because its knowledge of the store is too old.
class CustomerRateLimiter {
public:
  /// \p Overuse is the factor by which the fleet may pass the limits.
  /// \p StaleAfter is when a VM without news of the plan stops.
  CustomerRateLimiter(std::string OwnName, double Overuse,
                      base::Duration StaleAfter)
      : OwnName_(std::move(OwnName)), Overuse_(Overuse),
        StaleAfter_(StaleAfter) {}

  /// Takes the customers' limits of a new configuration.
  void setRules(const TrafficRules &Rules, base::TimePoint Now);

  /// Takes up a newer plan; earlier ones are ignored.
  void setPlan(const QuotaPlan &Plan, base::TimePoint Now);

  /// Puts the shares of the plan in force as soon as that is safe.
  void activatePlan(const MemberTable &Members, base::TimePoint Now);

  /// Takes one request of \p Customer; else the time until the next may come.
  std::optional<base::Duration> acquireToken(const base::CustomerName &Customer,
                                             base::TimePoint Now);

  /// Takes one request for another VM, whose demand it is; else the time until
  /// the next may come.
  std::optional<base::Duration> lendToken(const base::CustomerName &Customer,
                                          base::TimePoint Now);

  const QuotaPlan &plan() const { return Plan_; }
  bool isPlanActive() const { return IsPlanActive_; }

  /// Smoothed requests a second that each customer asks for here, by its name.
  std::map<NameTag, double> demand(base::TimePoint Now) const;

private:
  struct Bucket {
    double Rate_ = 0;
    double Burst_ = 0;
    double Share_ = 0;
    double Tokens_ = 0;
    base::TimePoint RefilledAt_{};
    double Demand_ = 0;
    base::TimePoint DemandUpdatedAt_{};
  };

  std::optional<base::Duration> acquireFrom(Bucket &Own, base::TimePoint Now);
  void refill(Bucket &One, base::TimePoint Now) const;
  void applyShares(base::TimePoint Now);

  std::string OwnName_;
  double Overuse_;
  base::Duration StaleAfter_;
  QuotaPlan Plan_;
  std::set<std::string> Holders_;
  base::TimePoint PlanReceivedAt_{};
  bool IsPlanActive_ = true;
  std::map<base::CustomerName, Bucket> Buckets_;
};

} // namespace ebony::traffic

#endif
