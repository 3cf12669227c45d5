#ifndef EBONY_TRAFFIC_COLDUPSTREAMLIMITER_H
#define EBONY_TRAFFIC_COLDUPSTREAMLIMITER_H

#include "traffic/upstreamstate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::traffic {

/// Bounds what all VMs together send to a cold upstream, without talk between
/// them.
///
/// Load pattern: upstreams come back together and cold while callers press.
///
/// Each VM sends at most one request a second to a cold upstream, and only VMs
/// that rendezvous hashing puts among the first few for it send at all, so
/// that the sum stays below the bound.
class ColdUpstreamLimiter {
public:
  /// \p Share is the part of the bound that is used; the rest covers VMs whose
  /// view of the fleet differs.
  ColdUpstreamLimiter(std::string OwnName, double Share)
      : OwnName_(std::move(OwnName)), Share_(Share) {}

  /// Replaces the names of the VMs that share the bound, this one included.
  void setVms(const std::vector<std::string> &Names);

  /// Whether this VM may send to \p Upstream now. \p BoundPerSecond is what
  /// all VMs may send in a second.
  bool allows(const UpstreamState &Upstream, double BoundPerSecond,
              base::TimePoint Now) const;

private:
  std::string OwnName_;
  double Share_;
  std::vector<std::uint64_t> OtherHashes_;
};

} // namespace ebony::traffic

#endif
