#ifndef EBONY_TRAFFIC_TRAFFICSPLITTER_H
#define EBONY_TRAFFIC_TRAFFICSPLITTER_H

#include "traffic/routesettings.h"

#include <cstdint>
#include <map>
#include <string>

namespace ebony::traffic {

/// Distributes a route's requests over its services by smooth weighted round
/// robin, which keeps the weights even over short runs of requests.
class TrafficSplitter {
public:
  /// Returns the service for the next request on \p Route. A new configuration
  /// \p Version resets the distribution.
  base::ServiceName choose(std::int64_t Version, const RouteSettings &Route);

private:
  std::int64_t Version_ = 0;
  std::map<std::string, std::map<base::ServiceName, double>> Credits_;
};

} // namespace ebony::traffic

#endif
