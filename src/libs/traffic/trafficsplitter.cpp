#include "traffic/trafficsplitter.h"

namespace ebony::traffic {

base::ServiceName TrafficSplitter::choose(std::int64_t Version,
                                          const RouteSettings &Route) {
  if (Route.Services_.size() == 1)
    return Route.Services_.front().Service_;
  if (Version != Version_) {
    Credits_.clear();
    Version_ = Version;
  }
  std::map<base::ServiceName, double> &Credits =
      Credits_[Route.Name_ + Route.Prefix_];
  double Total = 0;
  const ServiceShare *Best = nullptr;
  for (const ServiceShare &Share : Route.Services_) {
    Total += Share.Weight_;
    double &Credit = Credits[Share.Service_];
    Credit += Share.Weight_;
    if (Share.Weight_ > 0 && (!Best || Credit > Credits[Best->Service_]))
      Best = &Share;
  }
  if (!Best)
    return Route.Services_.front().Service_;
  Credits[Best->Service_] -= Total;
  return Best->Service_;
}

} // namespace ebony::traffic
