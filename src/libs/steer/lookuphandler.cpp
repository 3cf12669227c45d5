#include "steer/lookuphandler.h"

#include "base/hashing.h"
#include "fleet/incarnation.h"
#include "httpkit/problem.h"
#include "steer/vmorder.h"
#include "json/jsontext.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <sstream>

namespace ebony::steer {

namespace {

constexpr std::size_t MaxVmsInResponse = 4;

struct LookupQuery {
  std::string Service_;
  std::string Customer_;
};

LookupQuery parseQuery(const std::string &Target) {
  LookupQuery Query;
  for (const auto &[Name, Value] : Poco::URI(Target).getQueryParameters()) {
    if (Name == "service")
      Query.Service_ = Value;
    if (Name == "customer")
      Query.Customer_ = Value;
  }
  return Query;
}

} // namespace

LookupHandler::LookupHandler(const SteerSettings &Settings,
                             const fleet::FleetState &State,
                             telemetry::DecisionLog &Decisions,
                             telemetry::MetricsRegistry &Metrics)
    : Settings_(Settings), State_(State), Rings_(Settings.Zone_),
      Decisions_(Decisions),
      Answered_(Metrics.counter("ebony_lookups_total", "Look-ups by result.",
                                "result=\"answered\"")),
      Refused_(Metrics.counter("ebony_lookups_total", "Look-ups by result.",
                               "result=\"refused\"")),
      SessionSeed_(static_cast<std::uint64_t>(fleet::newIncarnation())) {}

std::string LookupHandler::newSessionId() {
  std::ostringstream Text;
  Text << std::hex << base::mixBits(SessionSeed_ + ++LastSessionNumber_) << '-'
       << SessionSeed_;
  return Text.str();
}

void LookupHandler::answer(Poco::Net::HTTPServerRequest &Request,
                           Poco::Net::HTTPServerResponse &Response) {
  const LookupQuery Query = parseQuery(Request.getURI());
  const auto Configuration = State_.configuration();
  if (Configuration->find<records::ServiceRecord>(Query.Service_) == nullptr) {
    Refused_.add();
    return httpkit::sendProblem(Response,
                                {404, httpkit::Outcome::NotRun, "no-service",
                                 "Name a service that exists: ?service=<name>.",
                                 std::nullopt});
  }
  const auto Members = State_.members();
  const auto Vms =
      orderVms(*Members, *Configuration, Settings_.Zone_,
               *Rings_.ringFor(*Members, *Configuration), Query.Customer_,
               base::stableHash(Request.clientAddress().host().toString()),
               MaxVmsInResponse);
  if (Vms.empty()) {
    Refused_.add();
    return httpkit::sendProblem(
        Response, {503, httpkit::Outcome::NotRun, "no-entry-vm",
                   "Ask another look-up address, or this one again after "
                   "the given time; no entry VM is known to be live.",
                   std::chrono::seconds(1)});
  }
  Answered_.add();
  telemetry::DecisionRecord Record;
  Record.Service_ = Query.Service_;
  Record.Customer_ = Query.Customer_;
  Record.Decision_ = "lookup";
  Record.Reason_ = "own-zone-first";
  Record.Chosen_ = Vms.front().Vm_.address().text();
  for (const fleet::FleetMember &Member : Vms)
    Record.Considered_ +=
        (Record.Considered_.empty() ? "" : ",") + Member.Vm_.address().text();
  Decisions_.write(Record);
  sendResponse(Response, Query.Service_, Vms);
}

void LookupHandler::sendResponse(Poco::Net::HTTPServerResponse &Response,
                                 const std::string &Service,
                                 const std::vector<fleet::FleetMember> &Vms) {
  Poco::JSON::Array::Ptr List = new Poco::JSON::Array;
  for (const fleet::FleetMember &Member : Vms) {
    Poco::JSON::Object::Ptr Vm = new Poco::JSON::Object;
    Vm->set("address", Member.Vm_.address().text());
    Vm->set("port", Settings_.EntryPort_);
    Vm->set("zone", Member.Vm_.zone().text());
    List->add(Vm);
  }
  Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
  Body->set("service", Service);
  Body->set("ttlMilliseconds", Settings_.TimeToLive_.count() / 1000);
  Body->set("session", newSessionId());
  Body->set("entryVms", List);
  const std::string Text = json::toText(Body);
  Response.setContentType("application/json");
  Response.sendBuffer(Text.data(), Text.size());
}

} // namespace ebony::steer
