#include "load/fleetplan.h"

#include <utility>

namespace ebony::load {

namespace {

constexpr std::uint16_t PlatformPort = 7000;
constexpr std::uint16_t TargetPort = 9000;
constexpr std::uint16_t ControlPort = 9001;
constexpr int ControlHost = 250;

std::string vmAddress(int Zone, int Vm) {
  return "127.1." + std::to_string(Zone) + "." + std::to_string(Vm);
}

std::string upstreamAddress(int Zone, int Host) {
  return "127.2." + std::to_string(Zone) + "." + std::to_string(Host);
}

} // namespace

FleetPlan::FleetPlan(Deployment Spec)
    : Deployment_(std::move(Spec)), Platform_{"127.1.0.1", PlatformPort} {
  planZones();
  planVms();
  planTargets();
}

void FleetPlan::planZones() {
  for (const RegionSpec &Region : Deployment_.Regions_)
    for (const std::string &Zone : Region.Zones_) {
      const int Number = static_cast<int>(Zones_.size()) + 1;
      Zones_.push_back({Zone,
                        Region.Name_,
                        Number,
                        {upstreamAddress(Number, ControlHost), ControlPort}});
    }
}

void FleetPlan::planVms() {
  for (const PlannedZone &Zone : Zones_)
    for (int Vm = 1; Vm <= Deployment_.VmsPerZone_; ++Vm)
      Vms_.push_back({vmAddress(Zone.Number_, Vm), Zone.Name_, Zone.Region_});
}

void FleetPlan::planTargets() {
  std::vector<int> HostsUsed(Zones_.size(), 0);
  for (const ServiceSpec &Service : Deployment_.Services_)
    for (int Index = 0; Index < Service.Targets_; ++Index) {
      const std::size_t ZoneIndex =
          static_cast<std::size_t>(Index) % Zones_.size();
      const PlannedZone &Zone = Zones_[ZoneIndex];
      Targets_.push_back(
          {Service.Name_ + "-" + std::to_string(Index + 1),
           Zone.Name_,
           {upstreamAddress(Zone.Number_, ++HostsUsed[ZoneIndex]), TargetPort},
           Service});
    }
}

} // namespace ebony::load
