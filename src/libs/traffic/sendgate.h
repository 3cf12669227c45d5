#ifndef EBONY_TRAFFIC_SENDGATE_H
#define EBONY_TRAFFIC_SENDGATE_H

#include "traffic/coldupstreamlimiter.h"
#include "traffic/sendpermission.h"
#include "traffic/trafficrules.h"
#include "traffic/upstreamratelimiter.h"

#include <vector>

namespace ebony::traffic {

/// Fleet-wide limit of the request rate to a cold upstream: the configured rate
/// times Overrun_ plus Slack_ requests per second.
struct ColdBound {
  double Overrun_ = 1.5;
  double Slack_ = 5;

  friend bool operator==(const ColdBound &, const ColdBound &) = default;
};

/// What is asked for a request.
enum class SendStage {
  /// Whether it may be placed at the upstream.
  Place,
  /// The same for a request that has no other upstream.
  PlaceAsLastResort,
  /// Whether a placed request, which the limits have counted, may still be
  /// sent.
  Send,
};

/// The one place that decides whether this VM may send a request to an
/// upstream, whatever way the request takes: new, queued, retried, or decided
/// before a connection was open.
///
/// Load pattern: upstreams leave, turn cold, name limits and fail while
/// requests for them wait, are retried and are being sent.
class SendGate {
public:
  SendGate(ColdUpstreamLimiter &ColdLimiter, UpstreamRateLimiter &RateLimiter,
           ColdBound Bound)
      : ColdLimiter_(ColdLimiter), RateLimiter_(RateLimiter), Bound_(Bound) {}

  /// Sets the configuration, which has the rate limits of cold upstreams.
  void setRules(TrafficRulesPtr Rules) { Rules_ = std::move(Rules); }

  /// Sets whether this VM is cut off from all news of upstreams, so that any of
  /// them may be cold.
  void setIsolated(bool IsIsolated) { IsIsolated_ = IsIsolated; }
  bool isIsolated() const { return IsIsolated_; }

  /// Returns whether a request at \p Stage may be sent to \p Upstream, after
  /// \p Ahead others that wait for it.
  SendPermission permission(const UpstreamState &Upstream, SendStage Stage,
                            base::TimePoint Now, int Ahead = 0) const;

private:
  struct Rule {
    SendBar Bar_;
    /// Returns the time until the rule lets a request be sent.
    base::Duration (SendGate::*Wait_)(const UpstreamState &Upstream,
                                      base::TimePoint Now, int Ahead) const;
    /// Stages at which the rule is not applied.
    std::vector<SendStage> ExemptStages_;
  };

  static const std::vector<Rule> &rules();

  base::Duration unlistedWait(const UpstreamState &Upstream,
                              base::TimePoint Now, int Ahead) const;
  base::Duration leavingWait(const UpstreamState &Upstream, base::TimePoint Now,
                             int Ahead) const;
  base::Duration quietWait(const UpstreamState &Upstream, base::TimePoint Now,
                           int Ahead) const;
  base::Duration trialWait(const UpstreamState &Upstream, base::TimePoint Now,
                           int Ahead) const;
  base::Duration coldLimitWait(const UpstreamState &Upstream,
                               base::TimePoint Now, int Ahead) const;
  base::Duration namedLimitWait(const UpstreamState &Upstream,
                                base::TimePoint Now, int Ahead) const;
  base::Duration ejectedWait(const UpstreamState &Upstream, base::TimePoint Now,
                             int Ahead) const;

  ColdUpstreamLimiter &ColdLimiter_;
  UpstreamRateLimiter &RateLimiter_;
  ColdBound Bound_;
  TrafficRulesPtr Rules_;
  bool IsIsolated_ = false;
};

} // namespace ebony::traffic

#endif
