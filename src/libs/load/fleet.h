#ifndef EBONY_LOAD_FLEET_H
#define EBONY_LOAD_FLEET_H

#include "base/finding.h"
#include "base/time.h"
#include "load/endpoint.h"

#include <string>
#include <vector>

namespace ebony::load {

/// Zone with the steerds that callers near it query.
struct FleetZone {
  std::string Name_;
  std::string Region_;
  Endpoint UpstreamControl_;
  std::vector<Endpoint> Steerds_;

  friend bool operator==(const FleetZone &, const FleetZone &) = default;
};

/// Customer with its limits and API key.
struct FleetCustomer {
  std::string Name_;
  double RequestsPerSecond_ = 0;
  double BurstRequests_ = 0;
  std::string Key_;

  friend bool operator==(const FleetCustomer &,
                         const FleetCustomer &) = default;
};

/// Running fleet as described by fleet.json.
struct Fleet {
  std::string Deployment_;
  base::Duration ClientOneWay_{0};
  base::Duration ZoneOneWay_{0};
  base::Duration RegionOneWay_{0};
  Endpoint Platform_;
  std::vector<FleetZone> Zones_;
  std::vector<FleetCustomer> Customers_;

  /// Returns the index in Zones_, or -1 when there is no such zone.
  int zoneIndex(const std::string &Name) const;

  /// Returns the one-way latency between a caller near zone \p HomeZone and
  /// \p EntryZone.
  base::Duration oneWayLatency(int HomeZone,
                               const std::string &EntryZone) const;

  friend bool operator==(const Fleet &, const Fleet &) = default;
};

/// Parses fleet.json text \p Text. Returns the fleet, or all errors found.
base::Checked<Fleet> parseFleet(const std::string &Text,
                                const std::string &Source);

/// Returns the text of fleet.json with the key of \p Customer set to \p Key.
base::Checked<std::string> withCustomerKey(const std::string &Text,
                                           const std::string &Source,
                                           const std::string &Customer,
                                           const std::string &Key);

} // namespace ebony::load

#endif
