#ifndef EBONY_TRAFFIC_UPSTREAMTABLE_H
#define EBONY_TRAFFIC_UPSTREAMTABLE_H

#include "traffic/nametag.h"
#include "traffic/upstreamruns.h"
#include "traffic/upstreamstate.h"

#include <map>
#include <set>
#include <vector>

namespace ebony::traffic {

/// Slots of a service by region.
using RegionSlots = std::map<base::RegionName, int>;

/// The upstreams listed in the directory, by service. Entries that expired
/// during a store outage are kept for a grace period after it, because running
/// upstreams register again right after the store returns.
class UpstreamTable {
public:
  UpstreamTable(std::map<base::ZoneName, base::RegionName> Zones,
                base::Duration GracePeriod)
      : Zones_(std::move(Zones)), GracePeriod_(GracePeriod) {}

  /// Compares \p Entry with what the table has had of the upstream.
  EntryOrder orderOf(const UpstreamEntry &Entry, base::TimePoint Now) const {
    return Runs_.orderOf(Entry, Now);
  }

  /// Adds or updates an upstream, unless the entry is outdated or unconfirmed.
  /// If the entry is
  /// of another process under the same name, the upstream's state is reset, but
  /// not for how long it is cold. A process that was not in the table is taken
  /// for cold for at least \p MinColdTime. \p IsFresh is whether the entry is
  /// new to the fleet. Returns false if nothing changed.
  bool put(const UpstreamEntry &Entry, base::TimePoint Now,
           base::Duration MinColdTime = base::Duration::zero(),
           bool IsFresh = true);

  /// Removes an upstream: at once, or during the grace period when that ends.
  void remove(const base::UpstreamName &Name, base::TimePoint Now);

  /// Removes all upstreams that are not in \p Listed.
  void retainOnly(const std::set<base::UpstreamName> &Listed,
                  base::TimePoint Now);

  /// Records that the store is available again after an outage, which starts
  /// the grace period.
  void recordStoreReturn(base::TimePoint Now) {
    GraceUntil_ = Now + GracePeriod_;
  }

  /// Removes the upstreams whose removal the grace period delayed, once that
  /// has ended, and forgets what is no longer needed of earlier runs.
  void expire(base::TimePoint Now);

  /// Sets the zones that must not get new requests. Upstreams of a zone that is
  /// no longer evacuated are treated as cold for \p ColdDuration, since their
  /// entries may be outdated. \p IsFresh is whether the change is new to the
  /// fleet.
  void setEvacuated(const std::set<base::ZoneName> &Zones,
                    base::Duration ColdDuration, base::TimePoint Now,
                    bool IsFresh = true);

  /// Records that the run of an upstream has said in a response that it leaves.
  /// No entry of that run makes it usable again. Returns false if that is
  /// known. \p Upstream may be one that the table no longer holds.
  bool recordLeaving(const UpstreamState &Upstream);

  /// Records that the run of an upstream wants no requests of this VM until \p
  /// Until, also if its entry goes and comes back before then.
  void recordQuiet(UpstreamState &Upstream, base::TimePoint Until);

  /// Returns the upstreams of a service that neither leave nor are in an
  /// evacuated zone.
  const std::vector<UpstreamPtr> &
  usable(const base::ServiceName &Service) const;
  /// Returns the slots of the usable upstreams of a service by region.
  const RegionSlots &slots(const base::ServiceName &Service) const;

  /// Sets the requests in flight that the other VMs have reported.
  void setInFlightElsewhere(const std::map<NameTag, int> &InFlight);

  /// Applies the limits of upstreams that another VM has reported. Returns the
  /// upstreams whose limit began, changed or ended for this VM.
  std::vector<UpstreamPtr>
  applyReportedLimits(const std::map<NameTag, ReportedLimit> &Limits,
                      base::TimePoint Now);

  /// Returns the limits of upstreams to report to other VMs.
  std::map<NameTag, ReportedLimit> limitsToReport(base::TimePoint Now) const;

  /// Applies the times for which upstreams stay cold that another VM has
  /// reported. Returns the upstreams that were taken for warm.
  std::vector<UpstreamPtr>
  applyReportedCold(const std::map<NameTag, base::Duration> &Cold,
                    base::TimePoint Now);

  /// Returns the times for which upstreams stay cold, to report to other VMs.
  std::map<NameTag, base::Duration> coldToReport(base::TimePoint Now) const;

  /// Returns the number of upstreams that name a limit of their request rate.
  std::int64_t limitedCount() const;

  /// Returns the number of upstreams that are taken for cold.
  std::int64_t coldCount(base::TimePoint Now) const;

  UpstreamPtr find(const base::UpstreamName &Name) const;
  const std::map<base::UpstreamName, UpstreamPtr> &all() const {
    return Upstreams_;
  }
  bool isEvacuated(const base::ZoneName &Zone) const {
    return EvacuatedZones_.contains(Zone);
  }

private:
  struct Group {
    std::vector<UpstreamPtr> Usable_;
    RegionSlots Slots_;
  };

  void eraseEntry(const base::UpstreamName &Name);
  void rebuildGroups();

  std::map<base::ZoneName, base::RegionName> Zones_;
  base::Duration GracePeriod_;
  base::TimePoint GraceUntil_{};
  std::map<base::UpstreamName, UpstreamPtr> Upstreams_;
  std::map<base::ServiceName, Group> Groups_;
  /// Upstreams to remove when the grace period ends.
  std::set<base::UpstreamName> RemovedInGrace_;
  std::set<base::ZoneName> EvacuatedZones_;
  /// Runs, also of upstreams whose entries are gone for now.
  UpstreamRuns Runs_;
};

} // namespace ebony::traffic

#endif
