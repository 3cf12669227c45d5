#ifndef EBONY_TRAFFIC_UPSTREAMTABLE_H
#define EBONY_TRAFFIC_UPSTREAMTABLE_H

#include "traffic/nametag.h"
#include "traffic/upstreamstate.h"

#include <map>
#include <set>
#include <vector>

namespace ebony::traffic {

/// Slots of a service by region, in the order of the region names.
using RegionSlots = std::map<base::RegionName, int>;

/// The upstreams that the directory lists, by service. An entry that lapses
/// while the directory's store was away keeps its place for a grace period,
/// because living upstreams come back right after the store.
class UpstreamTable {
public:
  UpstreamTable(std::map<base::ZoneName, base::RegionName> Zones,
                base::Duration LapseGrace)
      : Zones_(std::move(Zones)), LapseGrace_(LapseGrace) {}

  /// Adds or updates an upstream. A new start under the same name forgets all
  /// that was known of the one before. False when nothing changed.
  bool put(const UpstreamEntry &Entry, base::TimePoint Now);

  /// Takes an upstream out, at once or after the grace period.
  void remove(const base::UpstreamName &Name, base::TimePoint Now);

  /// Takes out all upstreams that \p Listed does not name.
  void retainOnly(const std::set<base::UpstreamName> &Listed,
                  base::TimePoint Now);

  /// Notes that the store answers again after it was away.
  void recordStoreReturn(base::TimePoint Now) {
    GraceUntil_ = Now + LapseGrace_;
  }

  /// Drops entries whose grace period has ended.
  void expire(base::TimePoint Now);

  /// Zones that must get no new work. Upstreams of a zone that is taken back
  /// are treated as cold for \p ColdSpan, since their entries may lag.
  void setEvacuated(const std::set<base::ZoneName> &Zones,
                    base::Duration ColdSpan, base::TimePoint Now);

  /// All listed upstreams of a service that may get new work in principle.
  const std::vector<UpstreamPtr> &
  usable(const base::ServiceName &Service) const;
  /// Slots of these upstreams by region.
  const RegionSlots &slots(const base::ServiceName &Service) const;

  /// Takes what the other VMs told of their requests in flight.
  void setInFlightElsewhere(const std::map<NameTag, int> &InFlight);

  UpstreamPtr find(const base::UpstreamName &Name) const;
  const std::map<base::UpstreamName, UpstreamPtr> &all() const { return All_; }
  bool isEvacuated(const base::ZoneName &Zone) const {
    return EvacuatedZones_.contains(Zone);
  }

private:
  struct Group {
    std::vector<UpstreamPtr> Usable_;
    RegionSlots Slots_;
  };

  void drop(const base::UpstreamName &Name);
  void rebuildGroups();

  std::map<base::ZoneName, base::RegionName> Zones_;
  base::Duration LapseGrace_;
  base::TimePoint GraceUntil_{};
  std::map<base::UpstreamName, UpstreamPtr> All_;
  std::map<base::ServiceName, Group> Groups_;
  std::set<base::UpstreamName> Lapsed_;
  std::set<base::ZoneName> EvacuatedZones_;
};

} // namespace ebony::traffic

#endif
