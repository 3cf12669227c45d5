#ifndef EBONY_TRAFFIC_DISPATCHER_H
#define EBONY_TRAFFIC_DISPATCHER_H

#include "base/randomengine.h"
#include "traffic/attemptresult.h"
#include "traffic/coldupstreamlimiter.h"
#include "traffic/job.h"
#include "traffic/outlierdetector.h"
#include "traffic/placement.h"
#include "traffic/placementorder.h"
#include "traffic/processingtimes.h"
#include "traffic/retryafteradvisor.h"
#include "traffic/trafficrules.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ebony::traffic {

/// Figures that bound what a Dispatcher does.
struct DispatcherSettings {
  /// What a cold upstream tolerates beyond its rate, as a factor and a sum.
  double ColdOverrun_ = 1.5;
  double ColdSlack_ = 5;
  /// Round trip to an upstream in another region.
  base::Duration FarRoundTrip_ = std::chrono::milliseconds(50);

  friend bool operator==(const DispatcherSettings &,
                         const DispatcherSettings &) = default;
};

/// A request whose turn came, or whose wait is over, and what became of it.
using DecidedRequest = std::pair<JobId, Placement>;

/// Decides for each request of one VM where it runs, whether it waits, or that
/// it is refused.
///
/// Load pattern: more requests than slots for seconds, a few objects that
/// their upstreams serve three times as fast as others.
///
/// For each of an object's first upstreams the time until an answer is
/// foreseen from the slots, the requests in flight from all VMs, those that
/// wait here ahead, and learned work times. The upstream with the earliest
/// answer wins; the request waits here, not there, until that has a free slot.
/// It is refused at once when no answer can be foreseen in time. Not
/// thread-safe; opens no sockets and reads no clock.
class Dispatcher {
public:
  Dispatcher(UpstreamTable &Table, PlacementOrder Order,
             ColdUpstreamLimiter &Cold, DispatcherSettings Terms,
             base::RandomEngine Random);

  /// Takes the cold rates and spans of a new configuration.
  void setRules(TrafficRulesPtr Rules) { Rules_ = std::move(Rules); }

  /// The refusal of a new request that would get one now; asked before a
  /// customer's quota is used for it.
  std::optional<Placement> predictRefusal(Job &One, base::TimePoint Now);

  /// Decides about a new request, or about one that comes back from an attempt
  /// that did not run. A job that waits is kept.
  Placement submit(std::unique_ptr<Job> &One, base::TimePoint Now);

  /// Decides again about those that wait; returns those that no longer do.
  std::vector<std::pair<std::unique_ptr<Job>, Placement>>
  poll(base::TimePoint Now);

  /// Takes a waiting job out, because its caller left.
  void cancel(JobId Id);

  /// Notes that an attempt has begun or ended.
  void beginAttempt(const Placement &Chosen, Job &One, base::TimePoint Now);
  void finishAttempt(const Placement &Chosen, const Job &One,
                     AttemptResult Result, base::Duration Taken,
                     base::TimePoint Now);

  /// Whether an upstream that the request was not sent to has a free slot and
  /// an answer in time is foreseen there.
  bool canRetry(const Job &One, base::TimePoint Now);

  std::size_t waitingCount() const { return Waiting_.size(); }

private:
  struct Candidate {
    UpstreamPtr Upstream_;
    std::size_t Rank_ = 0;
    base::Duration PredictedLatency_{};
    bool IsFree_ = false;
  };

  Placement decide(Job &One, base::TimePoint Now);
  std::optional<Candidate> best(const Job &One, base::TimePoint Now,
                                bool AllowEjected);
  Candidate predict(const Job &One, std::size_t Rank, base::TimePoint Now);
  bool isBlockedByColdLimit(const UpstreamState &Upstream,
                            base::TimePoint Now) const;
  int countWaitingAhead(const Job &One, const UpstreamState &Upstream) const;
  static void recordLatencyFactor(UpstreamState &Upstream, double Known,
                                  double Ratio, double Weight,
                                  base::TimePoint Now);
  ProcessingTimes &processingTimesFor(const Job &One);
  Placement refuse(const Job &One, base::Duration Foreseen, const char *Reason,
                   base::TimePoint Now);
  RetryAfterAdvisor &retryAdvisorFor(const Job &One);

  UpstreamTable &Table_;
  PlacementOrder Order_;
  ColdUpstreamLimiter &Cold_;
  DispatcherSettings Terms_;
  base::RandomEngine Random_;
  std::map<base::ServiceName, RetryAfterAdvisor> Advice_;
  TrafficRulesPtr Rules_;
  OutlierDetector Outliers_;
  std::map<std::pair<std::string, base::ServiceName>, ProcessingTimes> Times_;
  std::vector<std::unique_ptr<Job>> Waiting_;
};

} // namespace ebony::traffic

#endif
