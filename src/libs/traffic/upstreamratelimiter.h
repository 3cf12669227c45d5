#ifndef EBONY_TRAFFIC_UPSTREAMRATELIMITER_H
#define EBONY_TRAFFIC_UPSTREAMRATELIMITER_H

#include "traffic/membertable.h"
#include "traffic/upstreamstate.h"

#include <optional>
#include <string>
#include <vector>

namespace ebony::traffic {

/// Keeps the requests of all VMs to an upstream below the rate that it has
/// named, without a message per request.
///
/// Load pattern: upstreams in trouble under load from the whole fleet, while
/// VMs restart, are cut off, and learn the limit at different times.
///
/// A few VMs share the rate evenly and pace their requests; the others send
/// none. Which VMs these are follows from rendezvous hashing over the live VMs,
/// those of the upstream's region first, because its requests come from there.
/// If the fleet is split in two and each part acts for the whole, the sum still
/// keeps the fleet's bound.
class UpstreamRateLimiter {
public:
  UpstreamRateLimiter(std::string OwnName, base::RegionName OwnRegion)
      : OwnName_(std::move(OwnName)), OwnRegion_(std::move(OwnRegion)) {}

  /// Replaces the live VMs, this one excluded.
  void setOtherVms(const std::vector<const MemberReport *> &Reports);

  /// Returns the time until this VM may send one more request to \p Upstream
  /// after \p Ahead requests that wait for it, or std::nullopt if other VMs
  /// share the rate.
  std::optional<base::Duration> sendDelay(const UpstreamState &Upstream,
                                          int Ahead, base::TimePoint Now) const;

  /// Records that a request is sent.
  void recordSend(UpstreamState &Upstream, base::TimePoint Now) const;

private:
  struct Vm {
    std::uint64_t NameHash_ = 0;
    base::RegionName Region_;
  };

  /// Returns the time between two requests of this VM, zero if no limit is in
  /// force, or std::nullopt if other VMs share the rate.
  std::optional<base::Duration> sendInterval(const UpstreamState &Upstream,
                                             base::TimePoint Now) const;
  std::size_t countHigherRanked(const UpstreamState &Upstream) const;

  std::string OwnName_;
  base::RegionName OwnRegion_;
  std::vector<Vm> Others_;
};

} // namespace ebony::traffic

#endif
