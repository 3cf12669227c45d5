#ifndef EBONY_TRAFFIC_UPSTREAMREACHABILITY_H
#define EBONY_TRAFFIC_UPSTREAMREACHABILITY_H

#include "base/name.h"
#include "base/time.h"

#include <set>

namespace ebony::traffic {

/// Outcome of a round of connections to upstreams of different zones.
struct ProbeRound {
  base::TimePoint Started_{};
  int Connected_ = 0;
  /// Connections that were actively refused or reset.
  int Refused_ = 0;
  /// Connections that were not answered in time.
  int Unanswered_ = 0;

  int failed() const { return Refused_ + Unanswered_; }

  friend bool operator==(const ProbeRound &, const ProbeRound &) = default;
};

/// Decides whether this VM reaches any upstream, so that the loss of its own
/// link is not taken for the failure of one upstream after another.
///
/// Load pattern: a VM loses all upstreams for seconds, while callers, the store
/// and the other VMs reach it. Connections hang, are reset, or live on while
/// new ones are refused.
///
/// Failed connections and silence only raise a suspicion; a round of
/// connections to upstreams of all zones confirms or refutes it. Not
/// thread-safe; opens no connection and reads no clock.
class UpstreamReachability {
public:
  /// Records that a connection to an upstream could not be opened or was lost
  /// without a response.
  void recordFailure(const base::UpstreamName &Upstream) {
    Failed_.insert(Upstream);
  }

  /// Records that a new connection to an upstream was opened.
  void recordConnection(base::TimePoint Now);

  /// Records that a response arrived from an upstream. The connection may be an
  /// older one that lives on while new ones are refused.
  void recordResponse(base::TimePoint Now) { LastResponse_ = Now; }

  /// Records the number of requests that are under way at upstreams.
  void setInFlight(int Count, base::TimePoint Now);

  /// Returns whether a round of probes is to be started. \p UpstreamCount is
  /// the number of upstreams that could be probed.
  bool isProbeDue(std::size_t UpstreamCount, base::TimePoint Now) const;

  void beginProbe(base::TimePoint Now);
  /// Records the outcome of the round. Returns whether the decision changed.
  bool finishProbe(const ProbeRound &Round, base::TimePoint Now);

  bool reachesUpstreams() const { return ReachesUpstreams_; }

  /// Returns whether a connection was opened after \p Since, so that an
  /// upstream that refuses one does so by itself.
  bool hasConnectedSince(base::TimePoint Since) const {
    return ReachesUpstreams_ && LastConnection_ > Since;
  }

  /// Returns the number of upstreams that failed since the last connection.
  std::size_t failedCount() const { return Failed_.size(); }

private:
  bool isSuspicious(std::size_t UpstreamCount, base::TimePoint Now) const;
  bool isSilent(base::TimePoint Now) const;

  bool ReachesUpstreams_ = true;
  bool IsProbing_ = false;
  /// Upstreams that failed since the last connection.
  std::set<base::UpstreamName> Failed_;
  base::TimePoint LastConnection_{};
  base::TimePoint LastResponse_{};
  base::TimePoint LastProbe_{};
  /// Time since which many requests are in flight; the epoch if few are.
  base::TimePoint BusySince_{};
  /// Rounds in a row that speak against the present decision.
  int ContraryRounds_ = 0;
};

} // namespace ebony::traffic

#endif
