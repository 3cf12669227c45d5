#include "load/recordfile.h"

#include <Poco/JSON/Object.h>

namespace ebony::load {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object record(const std::string &Kind, const std::string &Name) {
  constexpr int SchemaVersion = 2;
  Object Json(Poco::JSON_PRESERVE_KEY_ORDER);
  Json.set("schemaVersion", SchemaVersion);
  Json.set("kind", Kind);
  Json.set("name", Name);
  return Json;
}

void addRegionsAndZones(Array &Records, const FleetPlan &Plan) {
  for (const RegionSpec &Region : Plan.deployment().Regions_)
    Records.add(record("region", Region.Name_));
  for (const PlannedZone &Zone : Plan.zones()) {
    Object Json = record("zone", Zone.Name_);
    Json.set("region", Zone.Region_);
    Records.add(Json);
  }
}

void addLinks(Array &Records, const Deployment &Spec) {
  for (const RegionSpec &From : Spec.Regions_)
    for (const RegionSpec &To : Spec.Regions_) {
      if (From == To)
        continue;
      Object Json = record("link", From.Name_ + "-" + To.Name_);
      Json.set("from", From.Name_);
      Json.set("to", To.Name_);
      Json.set("megabitsPerSecond", Spec.MegabitsPerSecond_);
      Json.set("oneWayMilliseconds", Spec.RegionOneWayMilliseconds_);
      Records.add(Json);
    }
}

void addServices(Array &Records, const Deployment &Spec) {
  for (const ServiceSpec &Service : Spec.Services_) {
    Object Json = record("service", Service.Name_);
    Json.set("timeoutMilliseconds", Service.TimeoutMilliseconds_);
    Json.set("maxBodyBytes", Service.MaxBodyBytes_);
    Records.add(Json);
    Object Route = record("route", Service.Name_ + "-all");
    Route.set("service", Service.Name_);
    Route.set("pathPrefix", "/");
    Route.set("access", "keyed");
    Records.add(Route);
  }
}

void addUpstreams(Array &Records, const FleetPlan &Plan) {
  for (const PlannedTarget &Target : Plan.targets()) {
    Object Json = record("upstream", Target.Name_);
    Json.set("service", Target.Service_.Name_);
    Json.set("zone", Target.Zone_);
    Json.set("address", Target.Endpoint_.Address_);
    Json.set("port", Target.Endpoint_.Port_);
    Json.set("slots", Target.Service_.SlotsPerTarget_);
    Json.set("connections", Plan.deployment().ConnectionsPerTarget_);
    Records.add(Json);
  }
}

void addCustomers(Array &Records, const Deployment &Spec) {
  for (const CustomerSpec &Customer : Spec.Customers_) {
    Object Json = record("customer", Customer.Name_);
    Json.set("requestsPerSecond", Customer.RequestsPerSecond_);
    Json.set("burstRequests", Customer.BurstRequests_);
    Json.set("weight", 1);
    Records.add(Json);
  }
}

} // namespace

Array operatorRecords(const FleetPlan &Plan) {
  Array Records;
  addRegionsAndZones(Records, Plan);
  addLinks(Records, Plan.deployment());
  addServices(Records, Plan.deployment());
  addUpstreams(Records, Plan);
  addCustomers(Records, Plan.deployment());
  return Records;
}

} // namespace ebony::load
