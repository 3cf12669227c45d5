#ifndef EBONY_STEERING_LOOKUPTABLE_H
#define EBONY_STEERING_LOOKUPTABLE_H

#include "membership/fleetview.h"
#include "steering/clientblockmap.h"
#include "steering/customerring.h"
#include "steering/lookupanswer.h"
#include "steering/lookupquery.h"
#include "steering/lookupsettings.h"
#include "steering/steeringplan.h"
#include "steering/zoneselector.h"

#include <map>
#include <memory>
#include <vector>

namespace ebony::steering {

/// All data that lookups need. Immutable, so that threads read it without a
/// lock; no lookup calls another process. A change of view, plan, map or
/// configuration builds a new table.
class LookupTable {
public:
  LookupTable(std::shared_ptr<const ClientBlockMap> Blocks,
              const SteeringPlan &Plan, const membership::FleetView &Fleet,
              const std::vector<CustomerLoad> &Loads,
              const LookupSettings &Settings);

  LookupAnswer answer(const LookupQuery &Query) const;

private:
  static std::set<base::ZoneName>
  healthyZones(const membership::FleetView &Fleet);
  const ZoneSelector &selectorFor(const ClientAddress &Client) const;
  std::vector<base::VmAddress> entryVms(const base::ZoneName &Zone,
                                        const LookupQuery &Query) const;
  base::Duration timeToLive(const ZoneSelector &Selector,
                            const base::ZoneName &Zone,
                            std::uint64_t ClientKey) const;

  std::shared_ptr<const ClientBlockMap> Blocks_;
  std::int64_t PlanRevision_;
  LookupSettings Settings_;
  base::ZoneName OwnZone_;
  std::vector<ZoneSelector> Selectors_;
  ZoneSelector DefaultSelector_;
  CustomerRing Ring_;
  std::map<base::ZoneName, std::vector<base::VmAddress>> OtherZoneRelays_;
  std::set<base::ZoneName> ChangingZones_;
};

} // namespace ebony::steering

#endif
