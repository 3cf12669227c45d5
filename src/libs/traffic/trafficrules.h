#ifndef EBONY_TRAFFIC_TRAFFICRULES_H
#define EBONY_TRAFFIC_TRAFFICRULES_H

#include "traffic/callerlimits.h"
#include "traffic/customersettings.h"
#include "traffic/routesettings.h"
#include "traffic/servicesettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

namespace ebony::traffic {

/// One version of the operators' configuration, indexed for look-ups. Immutable
/// once built.
class TrafficRules {
public:
  TrafficRules(std::int64_t Version, CallerLimits Limits)
      : Version_(Version), Limits_(Limits) {}

  void addRoute(const std::string &Host, RouteSettings Route);
  void addService(ServiceSettings Service);
  void addCustomer(CustomerSettings Customer,
                   const std::vector<std::string> &Keys);

  /// Returns the route of \p Host with the longest prefix of \p Path, or null
  /// if none matches.
  const RouteSettings *findRoute(std::string_view Host,
                                 std::string_view Path) const;
  const ServiceSettings *findService(const base::ServiceName &Name) const;
  /// Returns the customer that owns \p Key, or null if the key is unknown.
  const CustomerSettings *findCustomer(std::string_view Key) const;

  /// Sets that requests need a customer's key, even if there is no customer.
  void setKeysRequired() { AreKeysRequired_ = true; }
  bool areKeysRequired() const { return AreKeysRequired_; }
  std::int64_t version() const { return Version_; }
  const CallerLimits &limits() const { return Limits_; }
  const std::vector<CustomerSettings> &customers() const { return Customers_; }

private:
  std::int64_t Version_;
  CallerLimits Limits_;
  std::map<std::string, std::vector<RouteSettings>, std::less<>> Hosts_;
  std::map<base::ServiceName, ServiceSettings> Services_;
  std::vector<CustomerSettings> Customers_;
  std::map<std::string, std::size_t, std::less<>> CustomerOfKey_;
  bool AreKeysRequired_ = false;
};

using TrafficRulesPtr = std::shared_ptr<const TrafficRules>;

} // namespace ebony::traffic

#endif
