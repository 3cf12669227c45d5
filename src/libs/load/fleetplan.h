#ifndef EBONY_LOAD_FLEETPLAN_H
#define EBONY_LOAD_FLEETPLAN_H

#include "load/deployment.h"
#include "load/endpoint.h"

#include <string>
#include <vector>

namespace ebony::load {

/// Entry VM of a planned fleet.
struct PlannedVm {
  std::string Address_;
  std::string Zone_;
  std::string Region_;

  friend bool operator==(const PlannedVm &, const PlannedVm &) = default;
};

/// Upstream target of a planned fleet.
struct PlannedTarget {
  std::string Name_;
  std::string Zone_;
  Endpoint Endpoint_;
  ServiceSpec Service_;

  friend bool operator==(const PlannedTarget &,
                         const PlannedTarget &) = default;
};

/// Zone of a planned fleet. Its number is the third octet of its addresses.
struct PlannedZone {
  std::string Name_;
  std::string Region_;
  int Number_ = 0;
  Endpoint UpstreamControl_;

  friend bool operator==(const PlannedZone &, const PlannedZone &) = default;
};

/// Assigns loopback addresses to all processes of one deployment, so that it
/// runs on one machine.
class FleetPlan {
public:
  explicit FleetPlan(Deployment Spec);

  const Deployment &deployment() const { return Deployment_; }
  const std::vector<PlannedZone> &zones() const { return Zones_; }
  const std::vector<PlannedVm> &vms() const { return Vms_; }
  const std::vector<PlannedTarget> &targets() const { return Targets_; }
  const Endpoint &platform() const { return Platform_; }

  friend bool operator==(const FleetPlan &, const FleetPlan &) = default;

private:
  void planZones();
  void planVms();
  void planTargets();

  Deployment Deployment_;
  std::vector<PlannedZone> Zones_;
  std::vector<PlannedVm> Vms_;
  std::vector<PlannedTarget> Targets_;
  Endpoint Platform_;
};

} // namespace ebony::load

#endif
