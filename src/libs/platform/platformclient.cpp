#include "platform/platformclient.h"

#include "httpwire/queryvalue.h"
#include "json/jsontext.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace ebony::platform {

namespace {

using config::TableOutcome;
using config::TableReply;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusNotFound = 404;
constexpr int StatusBadRequest = 400;

std::string toJsonText(const config::TableTransaction &Transaction) {
  Array::Ptr Conditions = new Array;
  for (const auto &Expected : Transaction.Conditions_) {
    Object::Ptr Condition = new Object;
    Condition->set("key", Expected.Key_);
    Condition->set("version", Expected.Version_);
    Conditions->add(Condition);
  }
  Array::Ptr Puts = new Array;
  for (const auto &Row : Transaction.Puts_) {
    Object::Ptr Put = new Object;
    Put->set("key", Row.Key_);
    Put->set("value", Row.Value_);
    Puts->add(Put);
  }
  Array::Ptr Deletes = new Array;
  for (const auto &Key : Transaction.Deletes_)
    Deletes->add(Key);
  Object::Ptr Body = new Object;
  Body->set("conditions", Conditions);
  Body->set("puts", Puts);
  Body->set("deletes", Deletes);
  return json::toText(Body);
}

config::TableRow toRow(const Object::Ptr &Json) {
  config::TableRow Row;
  Row.Key_ = Json->getValue<std::string>("key");
  Row.Version_ = Json->getValue<config::RowVersion>("version");
  Row.Value_ = Json->optValue<std::string>("value", "");
  return Row;
}

std::vector<config::TableRow> toRows(const Array::Ptr &Rows) {
  std::vector<config::TableRow> Result;
  for (unsigned Index = 0; Rows && Index < Rows->size(); ++Index)
    if (const auto Row = Rows->getObject(Index))
      Result.push_back(toRow(Row));
  return Result;
}

TableReply makeReply(TableOutcome Outcome) {
  TableReply Reply;
  Reply.Outcome_ = Outcome;
  return Reply;
}

/// Parses the JSON object in a response body with \p Parse. A malformed body
/// counts as no response: its outcome is Unknown.
template <typename Function>
TableReply parseReply(const std::string &Text, Function &&Parse) {
  const auto Value = json::parseText("table service", Text);
  if (Value.has_error() || Value.value().type() != typeid(Object::Ptr))
    return makeReply(TableOutcome::Unknown);
  try {
    return Parse(Value.value().template extract<Object::Ptr>());
  } catch (const Poco::Exception &) {
    return makeReply(TableOutcome::Unknown);
  }
}

} // namespace

PlatformClient::PlatformClient(httpkit::HttpClient Client)
    : Client_(std::move(Client)) {}

TableReply
PlatformClient::transact(const config::TableTransaction &Transaction) {
  const auto Answer = Client_.send({"POST",
                                    "/v1/table/transact",
                                    toJsonText(Transaction),
                                    {{"Content-Type", "application/json"}}});
  if (!Answer)
    return makeReply(TableOutcome::Unknown);
  if (Answer->Status_ != StatusOk)
    return makeReply(Answer->Status_ >= StatusBadRequest
                         ? TableOutcome::Unavailable
                         : TableOutcome::Unknown);
  return parseReply(Answer->Body_, [](const Object::Ptr &Body) {
    TableReply Reply;
    const bool IsCommitted = Body->getValue<bool>("committed");
    Reply.Outcome_ = IsCommitted ? TableOutcome::Done : TableOutcome::Conflict;
    if (IsCommitted)
      Reply.CommittedVersion_ = Body->getValue<config::RowVersion>("version");
    else
      Reply.Rows_ = toRows(Body->getArray("failed"));
    return Reply;
  });
}

TableReply PlatformClient::row(const std::string &Key) {
  const auto Answer = Client_.send(
      {"GET", "/v1/table/row?key=" + httpwire::encodeQueryValue(Key), "", {}});
  if (!Answer)
    return makeReply(TableOutcome::Unavailable);
  if (Answer->Status_ == StatusNotFound) {
    TableReply Reply = makeReply(TableOutcome::Done);
    Reply.Rows_.push_back({Key, 0, ""});
    return Reply;
  }
  if (Answer->Status_ != StatusOk)
    return makeReply(TableOutcome::Unavailable);
  return parseReply(Answer->Body_, [](const Object::Ptr &Body) {
    TableReply Reply = makeReply(TableOutcome::Done);
    Reply.Rows_.push_back(toRow(Body));
    return Reply;
  });
}

TableReply PlatformClient::scan(const std::string &Prefix,
                                const std::string &After, std::size_t Limit) {
  const auto Answer = Client_.send(
      {"GET",
       "/v1/table/rows?prefix=" + httpwire::encodeQueryValue(Prefix) +
           "&after=" + httpwire::encodeQueryValue(After) +
           "&limit=" + std::to_string(Limit),
       "",
       {}});
  if (!Answer || Answer->Status_ != StatusOk)
    return makeReply(TableOutcome::Unavailable);
  return parseReply(Answer->Body_, [](const Object::Ptr &Body) {
    TableReply Reply = makeReply(TableOutcome::Done);
    Reply.Rows_ = toRows(Body->getArray("rows"));
    return Reply;
  });
}

bool PlatformClient::put(const std::string &Name, const std::string &Bytes) {
  const auto Answer = Client_.send(
      {"PUT", "/v1/objects/" + httpwire::encodeQueryValue(Name), Bytes, {}});
  return Answer &&
         (Answer->Status_ == StatusNoContent || Answer->Status_ == StatusOk);
}

std::optional<std::string> PlatformClient::get(const std::string &Name) {
  auto Answer = Client_.send(
      {"GET", "/v1/objects/" + httpwire::encodeQueryValue(Name), "", {}});
  if (!Answer || Answer->Status_ != StatusOk)
    return std::nullopt;
  return std::move(Answer->Body_);
}

std::optional<VmList> PlatformClient::listVms() {
  const auto Answer = Client_.send({"GET", "/v1/vms", "", {}});
  if (!Answer || Answer->Status_ != StatusOk)
    return std::nullopt;
  auto List = parseVmList(Answer->Body_);
  if (List.has_error())
    return std::nullopt;
  return List.value();
}

} // namespace ebony::platform
