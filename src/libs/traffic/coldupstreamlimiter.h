#ifndef EBONY_TRAFFIC_COLDUPSTREAMLIMITER_H
#define EBONY_TRAFFIC_COLDUPSTREAMLIMITER_H

#include "traffic/upstreamstate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebony::traffic {

/// Limits the request rate of the whole fleet to a cold upstream without
/// communication between the VMs.
///
/// Load pattern: upstreams return together and cold under full load.
///
/// Each VM sends at most one request per second to a cold upstream, and only
/// the VMs that rendezvous hashing ranks first for it send any, so that the
/// total stays below the limit. VMs that are not heard of count as well: each
/// VM that left them out would take the place of one of them, while they go on.
class ColdUpstreamLimiter {
public:
  /// \p Share is the fraction of the limit that is used; the rest allows for
  /// VMs whose lists of live VMs differ.
  ColdUpstreamLimiter(std::string OwnName, double Share)
      : OwnName_(std::move(OwnName)), Share_(Share) {}

  /// Replaces the names of the other VMs that share the limit. Until the first
  /// call the other VMs are unknown, and nothing is sent to a cold upstream.
  void setOtherVms(const std::vector<std::string> &Names, base::TimePoint Now);

  /// Returns whether this VM may send to \p Upstream now. \p LimitPerSecond
  /// is the limit for all VMs together.
  bool allows(const UpstreamState &Upstream, double LimitPerSecond,
              base::TimePoint Now) const {
    return !Upstream.isCold(Now) || allowsIfCold(Upstream, LimitPerSecond, Now);
  }

  /// The same for an upstream that may be cold without this VM's knowledge.
  bool allowsIfCold(const UpstreamState &Upstream, double LimitPerSecond,
                    base::TimePoint Now) const;

  /// Records that this VM sends a request to \p Upstream.
  void recordSend(const UpstreamState &Upstream, base::TimePoint Now) {
    LastSends_[Upstream.NameHash_] = Now;
  }

  /// Returns how many VMs share the limit, this one included.
  std::size_t vmCount() const { return OtherHashes_.size() + 1; }

  /// Returns how many of them hashing ranks before this one for \p Upstream.
  std::size_t countHigherRanked(const UpstreamState &Upstream) const;

private:
  std::string OwnName_;
  double Share_;
  std::vector<std::uint64_t> OtherHashes_;
  /// Times of the last sends by the hash of the upstream's name; an upstream
  /// may be listed anew between two sends.
  std::map<std::uint64_t, base::TimePoint> LastSends_;
  /// Time from which requests may be sent; std::nullopt while the other VMs are
  /// unknown.
  std::optional<base::TimePoint> StartsAt_;
};

} // namespace ebony::traffic

#endif
