#ifndef EBONY_TRAFFIC_DISPATCHER_H
#define EBONY_TRAFFIC_DISPATCHER_H

#include "base/randomengine.h"
#include "traffic/attemptresult.h"
#include "traffic/cacheestimator.h"
#include "traffic/job.h"
#include "traffic/placement.h"
#include "traffic/placementorder.h"
#include "traffic/returnadvice.h"
#include "traffic/sendgate.h"
#include "traffic/upstreamhealth.h"
#include "traffic/worktimes.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ebony::traffic {

/// Parameters of a Dispatcher.
struct DispatcherSettings {
  ColdBound Cold_;

  friend bool operator==(const DispatcherSettings &,
                         const DispatcherSettings &) = default;
};

/// The id of a request that no longer waits, with the decision about it.
using DecidedRequest = std::pair<JobId, Placement>;

/// Decides for each request at one VM whether it is sent, and to which
/// upstream, queued, or refused.
///
/// Load pattern: more requests than slots for several seconds, and a few
/// objects that the upstreams which have them cached serve three times as fast.
///
/// For the first upstreams in an object's order, the latency is predicted from
/// the slots, the requests in flight from all VMs, the requests queued ahead
/// at this VM, measured processing times, and the probability that the upstream
/// has the object cached. The upstream with the lowest cost is chosen: this
/// latency plus the price of the slot time that it takes beyond the cached
/// response. A request waits at the VM, not at the upstream, until
/// the upstream has a free slot. It is refused at once if no upstream is
/// predicted to respond in time. Not thread-safe; opens no sockets and reads
/// no clock.
class Dispatcher {
public:
  Dispatcher(UpstreamTable &Table, PlacementOrder Order,
             ColdUpstreamLimiter &ColdLimiter, UpstreamRateLimiter &RateLimiter,
             DispatcherSettings Settings, base::RandomEngine Random);

  /// Sets the configuration, which has the rate limits of cold upstreams.
  void setRules(TrafficRulesPtr Rules) { Gate_.setRules(std::move(Rules)); }

  /// Sets whether this VM is cut off from all news of upstreams, so that any of
  /// them may be cold.
  void setIsolated(bool IsIsolated) { Gate_.setIsolated(IsIsolated); }

  /// Sets the time by which all responses must have arrived because the process
  /// ends. A request that is not expected to be answered by then is refused.
  void setStopDeadline(base::TimePoint Deadline) { StopDeadline_ = Deadline; }
  /// Returns that time; TimePoint::max() unless the process is to end.
  base::TimePoint stopDeadline() const { return StopDeadline_; }

  /// Returns the refusal if a new request would be refused now, else
  /// std::nullopt. Called before the request is charged to its customer's
  /// quota.
  std::optional<Placement> predictRefusal(Job &Request, base::TimePoint Now);

  /// Decides about a new request or one that is to be retried. Takes ownership
  /// of a request that has to wait.
  Placement submit(std::unique_ptr<Job> &Request, base::TimePoint Now);

  /// Moves objects between the regions by the present usage of their slots.
  void balanceRegions(base::TimePoint Now);

  /// Decides again about the waiting requests and returns those that no longer
  /// wait.
  std::vector<std::pair<std::unique_ptr<Job>, Placement>>
  poll(base::TimePoint Now);

  /// Removes a waiting request whose caller has disconnected.
  void cancel(JobId Id);

  /// Records the start of an attempt, which occupies a slot of the upstream.
  void beginAttempt(const Placement &Chosen, Job &Request, base::TimePoint Now);
  /// Records the end of an attempt, which took \p Elapsed.
  void finishAttempt(const Placement &Chosen, const Job &Request,
                     AttemptResult Result, base::Duration Elapsed,
                     base::TimePoint Now);

  /// Records whether a response of \p Upstream named a request rate. The
  /// request was sent at \p Sent.
  static void recordNamedLimit(UpstreamState &Upstream,
                               std::optional<double> RatePerSecond,
                               base::TimePoint Sent, base::TimePoint Now);

  /// Returns whether an upstream that has not been tried has a free slot and is
  /// predicted to respond in time.
  bool canRetry(const Job &Request, base::TimePoint Now);

  /// Returns what decides whether a request may be sent to an upstream.
  const SendGate &gate() const { return Gate_; }

  std::size_t waitingCount() const { return Waiting_.size(); }

private:
  struct Candidate {
    UpstreamPtr Upstream_;
    std::size_t Rank_ = 0;
    base::Duration PredictedLatency_{};
    /// PredictedLatency_ plus the price of the slot time beyond that of a
    /// cached object.
    base::Duration Cost_{};
    bool HasFreeSlot_ = false;
    /// What delays the request at this upstream.
    SendBar Bar_ = SendBar::None;
  };

  Placement decide(Job &Request, base::TimePoint Now);
  /// Returns whether a request would be refused though upstreams beyond those
  /// of its order may be free: some of its order have named a limit or asked
  /// for no requests.
  bool isHeldUp(const Job &Request, const Candidate &Best,
                base::TimePoint Now) const;
  /// Returns why no upstream can be used for a request.
  const char *findUnplaceableReason(const Job &Request,
                                    base::TimePoint Now) const;
  std::optional<Candidate> findBest(const Job &Request, double Price,
                                    base::TimePoint Now, SendStage Stage);
  Candidate predict(const Job &Request, std::size_t Rank, double Price,
                    SendStage Stage, base::TimePoint Now);
  /// Returns why a request is refused rather than sent to \p Best, or null.
  const char *findRefusalReason(const Job &Request, const Candidate &Best,
                                base::TimePoint Now) const;
  /// Returns whether a response predicted to take \p Latency would arrive
  /// after the end of the process, or might do so if the request must not be
  /// repeated.
  bool endsAfterStop(const Job &Request, base::Duration Latency,
                     base::TimePoint Now) const;
  int countWaitingAhead(const Job &Request,
                        const UpstreamState &Upstream) const;
  static void recordLatencyFactor(UpstreamState &Upstream, double Previous,
                                  double Ratio, double Weight,
                                  base::TimePoint Now);
  WorkTimes &workTimesFor(const Job &Request);
  CacheEstimator &cacheFor(const Job &Request);
  /// Returns the expected processing time at an upstream of normal speed.
  base::Duration expectedTime(const Job &Request, const UpstreamState &Upstream,
                              std::size_t Rank, base::TimePoint Now);
  Placement refuse(const Job &Request, base::Duration PredictedLatency,
                   const char *Reason, base::TimePoint Now);
  ReturnAdvice &returnAdviceFor(const Job &Request);

  UpstreamTable &Table_;
  PlacementOrder Order_;
  ColdUpstreamLimiter &ColdLimiter_;
  UpstreamRateLimiter &RateLimiter_;
  SendGate Gate_;
  base::RandomEngine Random_;
  std::map<base::ServiceName, ReturnAdvice> ReturnAdvice_;
  base::TimePoint StopDeadline_ = base::TimePoint::max();
  UpstreamHealth Health_;
  std::map<std::pair<std::string, base::ServiceName>, WorkTimes> WorkTimes_;
  std::map<base::ServiceName, CacheEstimator> Caches_;
  std::vector<std::unique_ptr<Job>> Waiting_;
};

} // namespace ebony::traffic

#endif
