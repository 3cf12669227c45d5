#include "platformstandin/platformcore.h"

#include "standin/jsonfields.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/IPAddress.h>

#include <algorithm>

namespace ebony::platformstandin {

using Poco::Net::HTTPResponse;
using standin::HttpAnswer;
using standin::HttpCall;

namespace {

constexpr std::size_t MaxRowsPerScan = 1000;
constexpr char ObjectsPath[] = "/v1/objects/";

// Returns the zone number of a caller, or 0 when its address is not of the form
// 127.1.<zone>.<vm> that VMs bind.
int zoneNumber(const std::string &Caller) {
  Poco::Net::IPAddress Address;
  if (!Poco::Net::IPAddress::tryParse(Caller, Address) ||
      Address.family() != Poco::Net::IPAddress::IPv4)
    return 0;
  const auto *Octets = static_cast<const unsigned char *>(Address.addr());
  return Octets[0] == 127 && Octets[1] == 1 ? Octets[2] : 0;
}

Poco::JSON::Object toJson(const TableRow &Row) {
  Poco::JSON::Object Json;
  Json.set("key", Row.Key_);
  Json.set("version", Row.Version_);
  Json.set("value", Row.Value_);
  return Json;
}

Poco::JSON::Object toJson(const CommitResult &Result) {
  Poco::JSON::Object Json;
  Json.set("committed", Result.Committed_);
  if (Result.Committed_) {
    Json.set("version", Result.Version_);
    return Json;
  }
  Poco::JSON::Array Failed;
  for (const RowCondition &FailedCondition : Result.Failed_) {
    Poco::JSON::Object Condition;
    Condition.set("key", FailedCondition.Key_);
    Condition.set("version", FailedCondition.Version_);
    Failed.add(Condition);
  }
  Json.set("failed", Failed);
  return Json;
}

base::Checked<TableTransaction> parseTransaction(const std::string &Text) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, "body", Problems),
                             "body", "$", Problems);
  TableTransaction Transaction;
  for (standin::JsonFields &Condition : Fields.objects("conditions"))
    Transaction.Conditions_.push_back(
        {Condition.text("key"),
         static_cast<std::uint64_t>(Condition.whole("version"))});
  for (standin::JsonFields &Put : Fields.objects("puts"))
    Transaction.Puts_.push_back({Put.text("key"), Put.text("value")});
  Transaction.Deletes_ = Fields.texts("deletes");
  Fields.rejectUnknown();
  if (!Problems.empty())
    return Problems;
  return Transaction;
}

} // namespace

struct PlatformCore::Route {
  const char *Method_;
  std::string Path_;
  bool IsPrefix_;
  OperationKind Kind_;
  HttpAnswer (PlatformCore::*Handle_)(const HttpCall &, const std::string &,
                                      base::TimePoint);
};

const PlatformCore::Route PlatformCore::Routes[] = {
    {"POST", "/v1/table/transact", false, OperationKind::Write,
     &PlatformCore::transact},
    {"GET", "/v1/table/row", false, OperationKind::Read, &PlatformCore::row},
    {"GET", "/v1/table/rows", false, OperationKind::Read, &PlatformCore::rows},
    {"PUT", ObjectsPath, true, OperationKind::Write, &PlatformCore::putObject},
    {"GET", ObjectsPath, true, OperationKind::Read, &PlatformCore::object},
    {"GET", "/v1/vms", false, OperationKind::Read, &PlatformCore::vms},
    {"POST", "/standin/orders", false, OperationKind::Order,
     &PlatformCore::applyOrders},
    {"GET", "/standin/counters", false, OperationKind::Order,
     &PlatformCore::counters},
};

PlatformCore::PlatformCore(const PlatformSettings &Settings,
                           base::RandomEngine Random)
    : ZoneLatencies_(Settings.ZoneLatencies_),
      Writes_(Settings.WritesPerSecond_), Reads_(Settings.ReadsPerSecond_),
      VmList_(Settings.Vms_), Random_(Random) {
  Orders_.VmListLag_ = Settings.VmListLag_;
}

const PlatformCore::Route *PlatformCore::findRoute(const HttpCall &Call) {
  for (const Route &Candidate : Routes) {
    const bool Matches = Candidate.IsPrefix_
                             ? Call.path().starts_with(Candidate.Path_)
                             : Call.path() == Candidate.Path_;
    if (Matches && Call.method() == Candidate.Method_)
      return &Candidate;
  }
  return nullptr;
}

bool PlatformCore::isZoneCutOff(const std::string &Caller) const {
  return std::ranges::count(Orders_.CutOffZones_, zoneNumber(Caller)) > 0;
}

bool PlatformCore::checkRateLimit(OperationKind Kind, base::TimePoint Now) {
  const bool IsWrite = Kind == OperationKind::Write;
  if (!(IsWrite ? Writes_ : Reads_).tryAcquire(Now)) {
    ++(IsWrite ? Counters_.RefusedWrites_ : Counters_.RefusedReads_);
    return false;
  }
  ++(IsWrite ? Counters_.Writes_ : Counters_.Reads_);
  return true;
}

HttpAnswer PlatformCore::answer(const HttpCall &Call, const std::string &Body,
                                base::TimePoint Now) {
  const Route *Found = findRoute(Call);
  if (!Found)
    return standin::problemAnswer(HTTPResponse::HTTP_NOT_FOUND,
                                  "Use a path that docs/STANDINS.md lists.");
  const std::lock_guard Guard(Lock_);
  if (Found->Kind_ == OperationKind::Order)
    return (this->*Found->Handle_)(Call, Body, Now);
  if (isZoneCutOff(Call.caller()))
    return standin::lostAnswer();
  if (Orders_.Down_)
    return standin::problemAnswer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                                  "The platform is down; try again later.");
  if (!checkRateLimit(Found->Kind_, Now))
    return standin::problemAnswer(HTTPResponse::HTTP_TOO_MANY_REQUESTS,
                                  "Send fewer requests a second.");
  HttpAnswer Answer = (this->*Found->Handle_)(Call, Body, Now);
  if (Random_.chance(Orders_.LoseAnswerProbability_)) {
    ++Counters_.LostAnswers_;
    return standin::lostAnswer();
  }
  return Answer;
}

base::Duration PlatformCore::oneWayLatency(const std::string &Caller) const {
  const std::lock_guard Guard(Lock_);
  const auto Zone = static_cast<std::size_t>(zoneNumber(Caller));
  const bool IsKnown = Zone > 0 && Zone <= ZoneLatencies_.size();
  return Orders_.Latency_ / 2 +
         (IsKnown ? ZoneLatencies_[Zone - 1] : base::Duration::zero());
}

HttpAnswer PlatformCore::transact(const HttpCall & /*Call*/,
                                  const std::string &Body,
                                  base::TimePoint /*Now*/) {
  const auto Transaction = parseTransaction(Body);
  if (!Transaction)
    return standin::badRequest(Transaction.error());
  const CommitResult Result = Table_.transact(Transaction.value());
  Counters_.Conflicts_ += Result.Committed_ ? 0 : 1;
  return standin::jsonAnswer(HTTPResponse::HTTP_OK, toJson(Result));
}

HttpAnswer PlatformCore::row(const HttpCall &Call, const std::string & /*Body*/,
                             base::TimePoint /*Now*/) {
  const auto Found = Table_.row(Call.query("key"));
  if (!Found)
    return standin::problemAnswer(HTTPResponse::HTTP_NOT_FOUND,
                                  "Give the key of a row that exists.");
  return standin::jsonAnswer(HTTPResponse::HTTP_OK, toJson(*Found));
}

HttpAnswer PlatformCore::rows(const HttpCall &Call,
                              const std::string & /*Body*/,
                              base::TimePoint /*Now*/) {
  const auto Limit = HttpCall::number(Call.query("limit"));
  const std::size_t Count = std::min<std::size_t>(
      MaxRowsPerScan, static_cast<std::size_t>(Limit.value_or(MaxRowsPerScan)));
  Poco::JSON::Array Rows;
  for (const TableRow &Row :
       Table_.rows(Call.query("prefix"), Call.query("after"), Count))
    Rows.add(toJson(Row));
  Poco::JSON::Object Json;
  Json.set("rows", Rows);
  return standin::jsonAnswer(HTTPResponse::HTTP_OK, Json);
}

HttpAnswer PlatformCore::putObject(const HttpCall &Call,
                                   const std::string &Body,
                                   base::TimePoint /*Now*/) {
  Objects_[Call.path()] = Body;
  return {};
}

HttpAnswer PlatformCore::object(const HttpCall &Call,
                                const std::string & /*Body*/,
                                base::TimePoint /*Now*/) {
  const auto Found = Objects_.find(Call.path());
  if (Found == Objects_.end())
    return standin::problemAnswer(HTTPResponse::HTTP_NOT_FOUND,
                                  "Give the name of an object that exists.");
  return {HTTPResponse::HTTP_OK,
          "application/octet-stream",
          Found->second,
          {},
          standin::Delivery::Whole};
}

HttpAnswer PlatformCore::vms(const HttpCall & /*Call*/,
                             const std::string & /*Body*/,
                             base::TimePoint Now) {
  Poco::JSON::Array Vms;
  for (const ListedVm &Listed : VmList_.visibleAt(Now, Orders_.VmListLag_)) {
    Poco::JSON::Object Vm;
    Vm.set("address", Listed.Address_);
    Vm.set("zone", Listed.Zone_);
    Vm.set("state", Listed.State_);
    Vms.add(Vm);
  }
  Poco::JSON::Object Json;
  Json.set("vms", Vms);
  return standin::jsonAnswer(HTTPResponse::HTTP_OK, Json);
}

HttpAnswer PlatformCore::applyOrders(const HttpCall & /*Call*/,
                                     const std::string &Body,
                                     base::TimePoint Now) {
  const auto Orders = updatedOrders(Orders_, Body);
  if (!Orders)
    return standin::badRequest(Orders.error());
  Orders_ = Orders.value();
  for (const ListedVm &Vm : Orders_.VmChanges_)
    VmList_.update(Vm, Now);
  return {};
}

HttpAnswer PlatformCore::counters(const HttpCall & /*Call*/,
                                  const std::string & /*Body*/,
                                  base::TimePoint /*Now*/) {
  Poco::JSON::Object Json;
  Json.set("reads", Counters_.Reads_);
  Json.set("writes", Counters_.Writes_);
  Json.set("refusedReads", Counters_.RefusedReads_);
  Json.set("refusedWrites", Counters_.RefusedWrites_);
  Json.set("lostAnswers", Counters_.LostAnswers_);
  Json.set("conflicts", Counters_.Conflicts_);
  Json.set("rows", static_cast<std::uint64_t>(Table_.size()));
  Json.set("version", Table_.version());
  return standin::jsonAnswer(HTTPResponse::HTTP_OK, Json);
}

} // namespace ebony::platformstandin
