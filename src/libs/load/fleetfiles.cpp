#include "load/fleetfiles.h"

#include "load/recordfile.h"
#include "standin/textfile.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace ebony::load {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int EntryPort = 8080;
constexpr int RelayPort = 8081;
constexpr int ThriftPort = 8082;
constexpr int AdminPort = 8083;
constexpr int SteerPort = 8090;
constexpr int OperatorPort = 8070;
constexpr int AgentPort = 8071;
constexpr int ColdRuns = 20;
constexpr unsigned Indent = 2;

Object orderedObject() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

template <typename Json> std::string prettyPrinted(const Json &Value) {
  std::ostringstream Text;
  Value.stringify(Text, Indent);
  return Text.str() + "\n";
}

Object vmLocation(const PlannedVm &Vm) {
  Object Json = orderedObject();
  Json.set("address", Vm.Address_);
  Json.set("zone", Vm.Zone_);
  Json.set("region", Vm.Region_);
  return Json;
}

Object entrydSettings(const PlannedVm &Vm) {
  Object Json = vmLocation(Vm);
  Json.set("entryPort", EntryPort);
  Json.set("relayPort", RelayPort);
  Json.set("thriftPort", ThriftPort);
  Json.set("adminPort", AdminPort);
  Json.set("agentPort", AgentPort);
  return Json;
}

Object steerdSettings(const PlannedVm &Vm) {
  Object Json = vmLocation(Vm);
  Json.set("steerPort", SteerPort);
  Json.set("agentPort", AgentPort);
  return Json;
}

Object agentdSettings(const PlannedVm &Vm, const Endpoint &Platform,
                      const std::string &OperatorToken) {
  Object Json = vmLocation(Vm);
  Json.set("operatorPort", OperatorPort);
  Json.set("agentPort", AgentPort);
  Json.set("platformHost", Platform.Address_);
  Json.set("platformPort", Platform.Port_);
  Json.set("operatorToken", OperatorToken);
  return Json;
}

// The platform's store is located in the first region.
double storeLatency(const FleetPlan &Plan, const PlannedZone &Zone) {
  const Deployment &Spec = Plan.deployment();
  return Zone.Region_ == Spec.Regions_.front().Name_
             ? Spec.ZoneOneWayMilliseconds_
             : Spec.RegionOneWayMilliseconds_;
}

Object platformSettings(const FleetPlan &Plan) {
  constexpr int VmListLagMilliseconds = 2000;
  Array Latencies;
  for (const PlannedZone &Zone : Plan.zones())
    Latencies.add(storeLatency(Plan, Zone));
  Array Vms;
  for (const PlannedVm &Vm : Plan.vms()) {
    Object Json = orderedObject();
    Json.set("address", Vm.Address_);
    Json.set("zone", Vm.Zone_);
    Json.set("state", "live");
    Vms.add(Json);
  }
  Object Json = orderedObject();
  Json.set("address", Plan.platform().Address_);
  Json.set("port", Plan.platform().Port_);
  Json.set("vmListLagMs", VmListLagMilliseconds);
  Json.set("zoneOneWayMs", Latencies);
  Json.set("vms", Vms);
  return Json;
}

Object targetSettings(const PlannedTarget &Target, const Deployment &Spec) {
  Object Json = orderedObject();
  Json.set("name", Target.Name_);
  Json.set("address", Target.Endpoint_.Address_);
  Json.set("port", Target.Endpoint_.Port_);
  Json.set("slots", Target.Service_.SlotsPerTarget_);
  Json.set("serviceMs", Target.Service_.ServiceMilliseconds_);
  Json.set("probeMs", Spec.ProbeMilliseconds_);
  Json.set("connectionMs", Spec.ConnectionMilliseconds_);
  Json.set("coldMs", Target.Service_.ServiceMilliseconds_);
  Json.set("coldRuns", ColdRuns);
  return Json;
}

Object upstreamSettings(const FleetPlan &Plan, const PlannedZone &Zone) {
  Array Targets;
  for (const PlannedTarget &Target : Plan.targets())
    if (Target.Zone_ == Zone.Name_)
      Targets.add(targetSettings(Target, Plan.deployment()));
  Object Json = orderedObject();
  Json.set("controlAddress", Zone.UpstreamControl_.Address_);
  Json.set("controlPort", Zone.UpstreamControl_.Port_);
  Json.set("seed", Zone.Number_);
  Json.set("targets", Targets);
  return Json;
}

Object endpointJson(const Endpoint &Server) {
  Object Json = orderedObject();
  Json.set("address", Server.Address_);
  Json.set("port", Server.Port_);
  return Json;
}

Object daemonJson(const std::string &Role, const PlannedVm &Vm, int Port,
                  int ReadyPort) {
  Object Json = orderedObject();
  Json.set("role", Role);
  Json.set("address", Vm.Address_);
  Json.set("zone", Vm.Zone_);
  Json.set("region", Vm.Region_);
  Json.set("port", Port);
  Json.set("readyPort", ReadyPort);
  return Json;
}

Array daemons(const FleetPlan &Plan) {
  Array All;
  for (const PlannedVm &Vm : Plan.vms()) {
    All.add(daemonJson("agentd", Vm, OperatorPort, OperatorPort));
    All.add(daemonJson("entryd", Vm, EntryPort, AdminPort));
    All.add(daemonJson("steerd", Vm, SteerPort, SteerPort));
  }
  return All;
}

Array zones(const FleetPlan &Plan) {
  Array All;
  for (const PlannedZone &Zone : Plan.zones()) {
    Object Json = orderedObject();
    Json.set("name", Zone.Name_);
    Json.set("region", Zone.Region_);
    Json.set("number", Zone.Number_);
    Json.set("upstreamControl", endpointJson(Zone.UpstreamControl_));
    All.add(Json);
  }
  return All;
}

Array upstreams(const FleetPlan &Plan) {
  Array All;
  for (const PlannedTarget &Target : Plan.targets()) {
    Object Json = orderedObject();
    Json.set("name", Target.Name_);
    Json.set("service", Target.Service_.Name_);
    Json.set("zone", Target.Zone_);
    Json.set("address", Target.Endpoint_.Address_);
    Json.set("port", Target.Endpoint_.Port_);
    All.add(Json);
  }
  return All;
}

Array customers(const FleetPlan &Plan) {
  Array All;
  for (const CustomerSpec &Customer : Plan.deployment().Customers_) {
    Object Json = orderedObject();
    Json.set("name", Customer.Name_);
    Json.set("requestsPerSecond", Customer.RequestsPerSecond_);
    Json.set("burstRequests", Customer.BurstRequests_);
    Json.set("key", "");
    All.add(Json);
  }
  return All;
}

Object fleet(const FleetPlan &Plan, const std::string &OperatorToken) {
  const Deployment &Spec = Plan.deployment();
  Object Json = orderedObject();
  Json.set("deployment", Spec.Name_);
  Json.set("operatorToken", OperatorToken);
  Json.set("clientOneWayMs", Spec.ClientOneWayMilliseconds_);
  Json.set("zoneOneWayMs", Spec.ZoneOneWayMilliseconds_);
  Json.set("regionOneWayMs", Spec.RegionOneWayMilliseconds_);
  Json.set("platform", endpointJson(Plan.platform()));
  Json.set("zones", zones(Plan));
  Json.set("daemons", daemons(Plan));
  Json.set("upstreams", upstreams(Plan));
  Json.set("customers", customers(Plan));
  return Json;
}

} // namespace

std::vector<FleetFile> fleetFiles(const FleetPlan &Plan,
                                  const std::string &OperatorToken) {
  std::vector<FleetFile> Files;
  for (const PlannedVm &Vm : Plan.vms()) {
    Files.push_back(
        {"entryd-" + Vm.Address_ + ".json", prettyPrinted(entrydSettings(Vm))});
    Files.push_back(
        {"steerd-" + Vm.Address_ + ".json", prettyPrinted(steerdSettings(Vm))});
    Files.push_back(
        {"agentd-" + Vm.Address_ + ".json",
         prettyPrinted(agentdSettings(Vm, Plan.platform(), OperatorToken))});
  }
  Files.push_back({"platform.json", prettyPrinted(platformSettings(Plan))});
  for (const PlannedZone &Zone : Plan.zones())
    Files.push_back({"upstreams-" + Zone.Name_ + ".json",
                     prettyPrinted(upstreamSettings(Plan, Zone))});
  Files.push_back({"records.json", prettyPrinted(operatorRecords(Plan))});
  Files.push_back({"fleet.json", prettyPrinted(fleet(Plan, OperatorToken))});
  return Files;
}

base::Findings writeFiles(const std::vector<FleetFile> &Files,
                          const std::string &Directory) {
  base::Findings Problems;
  for (const FleetFile &File : Files) {
    const base::Findings WriteProblems =
        standin::writeText(Directory + "/" + File.Name_, File.Text_);
    Problems.insert(Problems.end(), WriteProblems.begin(), WriteProblems.end());
  }
  return Problems;
}

} // namespace ebony::load
