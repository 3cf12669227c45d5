#ifndef EBONY_TRAFFIC_PLACEMENTORDER_H
#define EBONY_TRAFFIC_PLACEMENTORDER_H

#include "traffic/regionbalancer.h"
#include "traffic/slotprice.h"
#include "traffic/upstreamtable.h"

#include <cstdint>
#include <map>
#include <vector>

namespace ebony::traffic {

/// Orders the upstreams of a service for one object.
///
/// Load pattern: a few objects requested repeatedly from all regions, at
/// upstreams that serve a cached object in a third of the time. Every VM of a
/// region must choose the same upstream for an object without communication,
/// and the share of requests that leaves a region must not follow short
/// fluctuations of its traffic.
///
/// Each object has a preferred region: the caller's own as far as that region's
/// share of all slots suffices, else one with spare slots. The upstreams of the
/// preferred region precede all others. Within these groups, weighted
/// rendezvous hashing determines the order.
class PlacementOrder {
public:
  PlacementOrder(base::RegionName OwnRegion, std::size_t RegionCount)
      : OwnRegion_(std::move(OwnRegion)), RegionCount_(RegionCount) {}

  /// Returns at most \p MaxCount upstreams in the order of preference. Only
  /// upstreams in \p HomeRegions are returned unless it is empty.
  std::vector<UpstreamPtr>
  order(const UpstreamTable &Table, const base::ServiceName &Service,
        std::uint64_t ObjectHash,
        const std::vector<base::RegionName> &HomeRegions,
        std::size_t MaxCount) const;

  /// Returns the usage of the slots in the object's preferred region, or in all
  /// allowed regions if that one has no usable upstream.
  SlotUsage usage(const UpstreamTable &Table, const base::ServiceName &Service,
                  std::uint64_t ObjectHash,
                  const std::vector<base::RegionName> &HomeRegions,
                  base::TimePoint Now) const;

  /// Returns the region whose upstreams are preferred for an object.
  /// \p ExportedShare is the share of the objects that the own region gives
  /// away beyond those for which it has too few slots.
  base::RegionName preferredRegion(const RegionSlots &Slots,
                                   std::uint64_t ObjectHash,
                                   double ExportedShare = 0) const;

  /// Moves objects of the service between the own region and others that have
  /// spare slots, by the present usage of their slots.
  void balance(const UpstreamTable &Table, const base::ServiceName &Service,
               base::TimePoint Now);

private:
  double exportedShare(const base::ServiceName &Service) const;

  base::RegionName OwnRegion_;
  std::size_t RegionCount_;
  std::map<base::ServiceName, RegionBalancer> Balancers_;
};

} // namespace ebony::traffic

#endif
