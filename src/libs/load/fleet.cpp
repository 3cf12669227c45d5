#include "load/fleet.h"

#include "standin/jsonfields.h"

#include <sstream>

namespace ebony::load {

namespace {

Endpoint parseEndpoint(standin::JsonFields Fields) {
  return {Fields.text("address"), Fields.port("port")};
}

void addSteerd(Fleet &Result, standin::JsonFields &Daemon) {
  const int Zone = Result.zoneIndex(Daemon.text("zone"));
  if (Daemon.text("role") != "steerd")
    return;
  if (Zone < 0)
    Daemon.reject("zone", "Name a zone of this file.");
  else
    Result.Zones_[static_cast<std::size_t>(Zone)].Steerds_.push_back(
        {Daemon.text("address"), Daemon.port("port")});
}

} // namespace

int Fleet::zoneIndex(const std::string &Name) const {
  for (std::size_t Index = 0; Index < Zones_.size(); ++Index)
    if (Zones_[Index].Name_ == Name)
      return static_cast<int>(Index);
  return -1;
}

base::Duration Fleet::oneWayLatency(int HomeZone,
                                    const std::string &EntryZone) const {
  const int EntryIndex = zoneIndex(EntryZone);
  if (EntryIndex == HomeZone || HomeZone < 0 || EntryIndex < 0)
    return ClientOneWay_;
  const bool SameRegion = Zones_[static_cast<std::size_t>(HomeZone)].Region_ ==
                          Zones_[static_cast<std::size_t>(EntryIndex)].Region_;
  return ClientOneWay_ + (SameRegion ? ZoneOneWay_ : RegionOneWay_);
}

base::Checked<Fleet> parseFleet(const std::string &Text,
                                const std::string &Source) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, Source, Problems),
                             Source, "$", Problems);
  Fleet Result;
  Result.Deployment_ = Fields.text("deployment");
  Result.ClientOneWay_ = Fields.milliseconds("clientOneWayMs", {});
  Result.ZoneOneWay_ = Fields.milliseconds("zoneOneWayMs", {});
  Result.RegionOneWay_ = Fields.milliseconds("regionOneWayMs", {});
  Result.Platform_ = parseEndpoint(Fields.object("platform"));
  for (standin::JsonFields &Zone : Fields.objects("zones"))
    Result.Zones_.push_back({Zone.text("name"),
                             Zone.text("region"),
                             parseEndpoint(Zone.object("upstreamControl")),
                             {}});
  for (standin::JsonFields &Daemon : Fields.objects("daemons"))
    addSteerd(Result, Daemon);
  for (standin::JsonFields &Customer : Fields.objects("customers"))
    Result.Customers_.push_back(
        {Customer.text("name"), Customer.number("requestsPerSecond"),
         Customer.number("burstRequests"), Customer.text("key", "")});
  if (!Problems.empty())
    return Problems;
  return Result;
}

base::Checked<std::string> withCustomerKey(const std::string &Text,
                                           const std::string &Source,
                                           const std::string &Customer,
                                           const std::string &Key) {
  constexpr unsigned Indent = 2;
  base::Findings Problems;
  Poco::JSON::Object::Ptr Json = standin::parseObject(Text, Source, Problems);
  Poco::JSON::Array::Ptr Customers = Json->getArray("customers");
  for (std::size_t Index = 0; Customers && Index < Customers->size(); ++Index) {
    auto CustomerJson = Customers->getObject(static_cast<unsigned>(Index));
    if (!CustomerJson ||
        CustomerJson->optValue<std::string>("name", "") != Customer)
      continue;
    CustomerJson->set("key", Key);
    std::ostringstream Result;
    Json->stringify(Result, Indent);
    return Result.str() + "\n";
  }
  Problems.emplace_back(Source, "$.customers",
                        "Name a customer of this file, not " + Customer + ".");
  return Problems;
}

} // namespace ebony::load
