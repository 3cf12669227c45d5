#include "traffic/trafficrules.h"

namespace ebony::traffic {

void TrafficRules::addRoute(const std::string &Host, RouteSettings Route) {
  Hosts_[Host].push_back(std::move(Route));
}

void TrafficRules::addService(ServiceSettings Service) {
  base::ServiceName Name = Service.Name_;
  Services_[std::move(Name)] = std::move(Service);
}

void TrafficRules::addCustomer(CustomerSettings Customer,
                               const std::vector<std::string> &Keys) {
  AreKeysRequired_ = true;
  Customers_.push_back(std::move(Customer));
  for (const std::string &Key : Keys)
    // An empty key would let in requests that have none.
    if (!Key.empty())
      CustomerOfKey_[Key] = Customers_.size() - 1;
}

const RouteSettings *TrafficRules::findRoute(std::string_view Host,
                                             std::string_view Path) const {
  const auto Entry = Hosts_.find(Host);
  if (Entry == Hosts_.end())
    return nullptr;
  const RouteSettings *Longest = nullptr;
  for (const RouteSettings &Route : Entry->second)
    if (Path.starts_with(Route.Prefix_) &&
        (!Longest || Route.Prefix_.size() > Longest->Prefix_.size()))
      Longest = &Route;
  return Longest;
}

const ServiceSettings *
TrafficRules::findService(const base::ServiceName &Name) const {
  const auto Entry = Services_.find(Name);
  return Entry == Services_.end() ? nullptr : &Entry->second;
}

const CustomerSettings *TrafficRules::findCustomer(std::string_view Key) const {
  const auto Entry = CustomerOfKey_.find(Key);
  return Entry == CustomerOfKey_.end() ? nullptr : &Customers_[Entry->second];
}

} // namespace ebony::traffic
