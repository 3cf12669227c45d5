#ifndef EBONY_TRAFFIC_CUSTOMERRATELIMITER_H
#define EBONY_TRAFFIC_CUSTOMERRATELIMITER_H

#include "base/time.h"
#include "traffic/membertable.h"
#include "traffic/quotaplan.h"
#include "traffic/trafficrules.h"

#include <optional>
#include <set>

namespace ebony::traffic {

/// Limits the requests of each customer at one VM by a token bucket with the
/// VM's share of the customer's rate and burst.
///
/// Load pattern: one customer at eight times its rate on any set of VMs, VMs
/// killed or cut off, limits lowered.
///
/// The shares of all VMs never add up to more than the whole. A lower share
/// applies at once. A higher one applies when every other holder has reported
/// the plan as applied, or when those that have not must have stopped serving
/// customers because their store data is stale.
class CustomerRateLimiter {
public:
  /// \p OveruseFactor is the factor by which the fleet may exceed the limits.
  /// After \p StaleAfter without confirmation of the plan, a VM stops serving.
  CustomerRateLimiter(std::string OwnName, double OveruseFactor,
                      base::Duration StaleAfter)
      : OwnName_(std::move(OwnName)), Overuse_(OveruseFactor),
        StaleAfter_(StaleAfter) {}

  /// Sets the customers' limits from a new configuration.
  void setRules(const TrafficRules &Rules, base::TimePoint Now);

  /// Sets a newer plan; plans that are not newer are ignored.
  void setPlan(const QuotaPlan &Plan, base::TimePoint Now);

  /// Activates the full shares of the plan as soon as that is safe.
  void activatePlan(const MemberTable &Members, base::TimePoint Now);

  /// Takes a token for a request of \p Customer. Returns std::nullopt if the
  /// request is admitted, else the time after which to retry.
  std::optional<base::Duration> acquireToken(const base::CustomerName &Customer,
                                             base::TimePoint Now);

  /// Takes a token on behalf of another VM, without counting it as demand here.
  /// Returns like acquireToken().
  std::optional<base::Duration> lendToken(const base::CustomerName &Customer,
                                          base::TimePoint Now);

  const QuotaPlan &plan() const { return Plan_; }
  bool isPlanActive() const { return IsPlanActive_; }

  /// Returns the smoothed requests per second of each customer at this VM, by
  /// the tag of its name.
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

  std::optional<base::Duration> acquireFrom(Bucket &CustomerBucket,
                                            base::TimePoint Now);
  void refill(Bucket &CustomerBucket, base::TimePoint Now) const;
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
