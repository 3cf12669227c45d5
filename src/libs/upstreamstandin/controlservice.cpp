#include "upstreamstandin/controlservice.h"

#include <Poco/Net/HTTPResponse.h>

#include <iterator>

namespace ebony::upstreamstandin {

using Poco::Net::HTTPResponse;
using standin::HttpAnswer;
using standin::HttpCall;

namespace {

void addRuns(Poco::JSON::Array &Runs, const TargetLedger &Ledger,
             const std::string &TargetName) {
  for (const LedgerEntry &Entry : Ledger.Runs_) {
    Poco::JSON::Object Json;
    Json.set("requestId", Entry.Request_.Id_.text());
    Json.set("customer", Entry.Request_.Customer_.text());
    Json.set("operation", Entry.Request_.Operation_);
    Json.set("target", TargetName);
    Json.set("count", Entry.Count_);
    Runs.add(Json);
  }
}

Poco::JSON::Object toJson(const TargetSettings &Settings,
                          const TargetLedger &Ledger) {
  Poco::JSON::Object Json;
  Json.set("target", Settings.Name_);
  Json.set("slots", Settings.Slots_);
  Json.set("maxInFlight", Ledger.MaxInFlight_);
  Json.set("served", Ledger.Served_);
  Json.set("slotViolations", Ledger.SlotViolations_);
  Json.set("busySeconds", base::toSeconds(Ledger.Busy_));
  return Json;
}

} // namespace

HttpAnswer ControlService::serve(const HttpCall &Call, std::istream &Body) {
  const std::string Text(std::istreambuf_iterator<char>(Body), {});
  if (Call.method() == "POST" && Call.path() == "/standin/orders")
    return applyOrders(Text);
  if (Call.method() == "GET" && Call.path() == "/standin/ledger")
    return ledger();
  return standin::problemAnswer(HTTPResponse::HTTP_NOT_FOUND,
                                "Use a path that docs/STANDINS.md lists.");
}

HttpAnswer ControlService::applyOrders(const std::string &Text) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, "orders", Problems),
                             "orders", "$", Problems);
  const std::string TargetName = Fields.text("target");
  std::vector<std::pair<Target *, TargetOrders>> Changes;
  for (const auto &HostedTarget : Targets_) {
    if (TargetName != "*" && TargetName != HostedTarget->settings().Name_)
      continue;
    TargetOrders Orders = HostedTarget->orders();
    updateOrders(Orders, Fields);
    Changes.emplace_back(HostedTarget.get(), Orders);
  }
  if (Changes.empty())
    Fields.reject("target", "Name a target of this process, or \"*\".");
  else
    Fields.rejectUnknown();
  if (!Problems.empty())
    return standin::badRequest(Problems);
  for (const auto &[ChangedTarget, Orders] : Changes)
    ChangedTarget->setOrders(Orders);
  return {};
}

HttpAnswer ControlService::ledger() const {
  Poco::JSON::Array Runs;
  Poco::JSON::Array Targets;
  std::uint64_t SlotViolations = 0;
  std::uint64_t KeyLeaks = 0;
  for (const auto &HostedTarget : Targets_) {
    const TargetLedger Ledger = HostedTarget->ledger();
    addRuns(Runs, Ledger, HostedTarget->settings().Name_);
    Targets.add(toJson(HostedTarget->settings(), Ledger));
    SlotViolations += Ledger.SlotViolations_;
    KeyLeaks += Ledger.KeyLeaks_;
  }
  Poco::JSON::Object Json;
  Json.set("runs", Runs);
  Json.set("targets", Targets);
  Json.set("slotViolations", SlotViolations);
  Json.set("keyLeaks", KeyLeaks);
  return standin::jsonAnswer(HTTPResponse::HTTP_OK, Json);
}

} // namespace ebony::upstreamstandin
