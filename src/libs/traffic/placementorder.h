#ifndef EBONY_TRAFFIC_PLACEMENTORDER_H
#define EBONY_TRAFFIC_PLACEMENTORDER_H

#include "traffic/upstreamtable.h"

#include <cstdint>
#include <vector>

namespace ebony::traffic {

/// Orders the upstreams of a service for one object.
///
/// Load pattern: few objects that are asked for again and again, from all
/// regions, at upstreams that serve an object they know in a third of the
/// time. Every VM has to find the same upstream for an object without talking
/// to the others, and the part of a region's requests that leaves the region
/// must not follow short waves of its traffic.
///
/// An object has a first region: the caller's own as far as the region's part
/// of all slots goes, else one with slots to spare. Within each region the
/// upstreams follow by weighted rendezvous hashing; the first region's come
/// first.
class PlacementOrder {
public:
  PlacementOrder(base::RegionName Own, std::size_t RegionCount)
      : Own_(std::move(Own)), RegionCount_(RegionCount) {}

  /// At most \p Most upstreams in the order in which they should be tried.
  /// \p Homes bounds the regions unless it is empty.
  std::vector<UpstreamPtr> order(const UpstreamTable &Table,
                                 const base::ServiceName &Service,
                                 std::uint64_t ObjectHash,
                                 const std::vector<base::RegionName> &Homes,
                                 std::size_t Most) const;

  /// Region whose upstreams come first for an object.
  base::RegionName firstRegion(const RegionSlots &Slots,
                               std::uint64_t ObjectHash) const;

private:
  base::RegionName Own_;
  std::size_t RegionCount_;
};

} // namespace ebony::traffic

#endif
