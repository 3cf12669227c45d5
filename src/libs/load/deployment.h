#ifndef EBONY_LOAD_DEPLOYMENT_H
#define EBONY_LOAD_DEPLOYMENT_H

#include "base/finding.h"

#include <string>
#include <vector>

namespace ebony::load {

/// One region and its zones.
struct RegionSpec {
  std::string Name_;
  std::vector<std::string> Zones_;

  friend bool operator==(const RegionSpec &, const RegionSpec &) = default;
};

/// One service and its upstream targets.
struct ServiceSpec {
  std::string Name_;
  int Targets_ = 0;
  int SlotsPerTarget_ = 0;
  double ServiceMilliseconds_ = 0;
  int TimeoutMilliseconds_ = 0;
  int MaxBodyBytes_ = 0;

  friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

/// One customer and its contracted rate and burst.
struct CustomerSpec {
  std::string Name_;
  int RequestsPerSecond_ = 0;
  int BurstRequests_ = 0;

  friend bool operator==(const CustomerSpec &, const CustomerSpec &) = default;
};

/// Topology, capacities and latencies of one fleet.
struct Deployment {
  std::string Name_;
  std::vector<RegionSpec> Regions_;
  std::vector<ServiceSpec> Services_;
  std::vector<CustomerSpec> Customers_;
  double ZoneOneWayMilliseconds_ = 0;
  double RegionOneWayMilliseconds_ = 0;
  double ClientOneWayMilliseconds_ = 0;
  double ProbeMilliseconds_ = 0;
  double ConnectionMilliseconds_ = 0;
  int VmsPerZone_ = 0;
  int ConnectionsPerTarget_ = 0;
  int MegabitsPerSecond_ = 0; ///< Per direction between two regions.

  friend bool operator==(const Deployment &, const Deployment &) = default;
};

/// Returns the deployment named "confirmacor" or "loan-office".
base::Checked<Deployment> findDeployment(const std::string &Name);

} // namespace ebony::load

#endif
