#ifndef EBONY_TRAFFIC_TRAFFICSPLITTER_H
#define EBONY_TRAFFIC_TRAFFICSPLITTER_H

#include "traffic/routesettings.h"

#include <cstdint>
#include <map>
#include <string>

namespace ebony::traffic {

/// Spreads a route's requests over its services by weight, evenly in time:
/// smooth weighted round robin, so that even short spans keep the shares.
class TrafficSplitter {
public:
  /// The service of the next request on \p Route.
  base::ServiceName choose(std::int64_t Version, const RouteSettings &Route);

private:
  std::int64_t Version_ = 0;
  std::map<std::string, std::map<base::ServiceName, double>> Credits_;
};

} // namespace ebony::traffic

#endif
