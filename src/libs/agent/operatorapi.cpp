#include "agent/operatorapi.h"

#include "agent/operatorresponse.h"
#include "httpkit/httpclient.h"
#include "httpkit/problem.h"
#include "records/recordparser.h"
#include "records/recordtext.h"
#include "trust/keygenerator.h"
#include "trust/keyhash.h"
#include "json/jsontext.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include <array>
#include <random>
#include <sstream>
#include <thread>

namespace ebony::agent {

namespace {

using httpkit::Outcome;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::int64_t MaxBodyBytes = 16 << 20;
constexpr int MaxSubmitAttempts = 20;
constexpr base::Duration RaceRetryDelay = std::chrono::milliseconds(100);
constexpr base::Duration RolloutTimeout = std::chrono::seconds(6);
constexpr base::Duration ExplainTimeout = std::chrono::seconds(2);

/// Returns the segments of a path such as /v1/records/customer/atlas.
std::vector<std::string> pathSegments(const std::string &Target) {
  std::vector<std::string> Segments;
  Poco::URI(Target).getPathSegments(Segments);
  return Segments;
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  for (const auto &[Key, Value] : Poco::URI(Target).getQueryParameters())
    if (Key == Name)
      return Value;
  return {};
}

std::string randomOperationId() {
  std::random_device Source;
  std::ostringstream Text;
  Text << std::hex << Source() << Source() << Source() << Source();
  return Text.str();
}

trust::KeyGenerator::RandomBytes randomBytes() {
  trust::KeyGenerator::RandomBytes Bytes{};
  std::random_device Source;
  for (auto &Byte : Bytes)
    Byte = static_cast<std::uint8_t>(Source());
  return Bytes;
}

/// Returns the body, or std::nullopt if it is too large.
std::optional<std::string> readBody(Poco::Net::HTTPServerRequest &Request) {
  constexpr std::size_t PartBytes = 8UL * 1024;
  std::string Body;
  if (Request.getContentLength64() > MaxBodyBytes)
    return std::nullopt;
  std::array<char, PartBytes> Part{};
  std::istream &Input = Request.stream();
  while (Input.read(Part.data(), Part.size()) || Input.gcount() > 0) {
    Body.append(Part.data(), static_cast<std::size_t>(Input.gcount()));
    if (static_cast<std::int64_t>(Body.size()) > MaxBodyBytes)
      return std::nullopt;
  }
  return Body;
}

} // namespace

const OperatorApi::ApiRoute OperatorApi::Routes[] = {
    {"GET", "/v1/records", &OperatorApi::listRecords},
    {"POST", "/v1/records", &OperatorApi::applyRecords},
    {"DELETE", "/v1/records/", &OperatorApi::deleteRecord},
    {"POST", "/v1/keys/", &OperatorApi::createKey},
    {"GET", "/v1/status", &OperatorApi::sendStatus},
    {"GET", "/v1/explain", &OperatorApi::explain},
    {"PUT", "/v1/log-level", &OperatorApi::setLogLevel},
};

OperatorApi::OperatorApi(const AgentSettings &Settings,
                         fleet::FleetState &State, ChangeSubmitter &Submitter,
                         const RolloutMonitor &Monitor)
    : Settings_(Settings), State_(State), Submitter_(Submitter),
      RolloutMonitor_(Monitor) {}

bool OperatorApi::answer(HttpRequest &Request, HttpResponse &Response) {
  const std::string Path = Poco::URI(Request.getURI()).getPath();
  for (const ApiRoute &Route : Routes) {
    const std::string Prefix = Route.PathPrefix_;
    if (Request.getMethod() != Route.Method_ ||
        Path.compare(0, Prefix.size(), Prefix) != 0)
      continue;
    if (!isOperator(Request)) {
      Response.setKeepAlive(false);
      httpkit::sendProblem(Response,
                           {401, Outcome::NotRun, "operator-token",
                            "Send the operator's token: Authorization: Bearer "
                            "<token>.",
                            std::nullopt});
      return true;
    }
    (this->*Route.Handler_)(Request, Response);
    return true;
  }
  return false;
}

bool OperatorApi::isOperator(const HttpRequest &Request) const {
  const std::string Expected = "Bearer " + Settings_.OperatorToken_;
  return trust::equalInConstantTime(Request.get("Authorization", ""), Expected);
}

void OperatorApi::listRecords(HttpRequest &Request, HttpResponse &Response) {
  const auto Segments = pathSegments(Request.getURI());
  const std::string Kind =
      Segments.size() > 2 ? Segments[2] : queryValue(Request.getURI(), "kind");
  const std::string Name = Segments.size() > 3 ? Segments[3] : "";
  std::string Text = "[";
  config::Revision Revision = 0;
  State_.withReplica([&](config::ConfigReplica &Replica) {
    Revision = Replica.revision();
    Replica.records().visit([&](const config::Record &Record) {
      const bool IsSelected = (Kind.empty() || Record.id().Kind_ == Kind) &&
                              (Name.empty() || Record.id().Name_ == Name);
      if (IsSelected)
        Text += (Text.size() > 1 ? ",\n" : "") + Record.text();
    });
    return true;
  });
  if (!Name.empty() && Text == "[")
    return httpkit::sendProblem(Response,
                                {404, Outcome::NotRun, "no-record",
                                 "Name a record that exists; list them with "
                                 "\"ebonyctl list\".",
                                 std::nullopt});
  Response.set("Ebony-Revision", std::to_string(Revision));
  sendJson(Response, 200, Text + "]\n");
}

ChangeSubmission OperatorApi::makeSubmission(const HttpRequest &Request) const {
  ChangeSubmission Submission;
  Submission.Operation_ = config::OperationId(
      Request.get("Ebony-Operation-Id", randomOperationId()));
  const std::string Expected = Request.get("If-Match", "");
  if (!Expected.empty() &&
      Expected.find_first_not_of("0123456789") == std::string::npos)
    Submission.ExpectedRevision_ = std::stoll(Expected);
  return Submission;
}

// A change without an expected revision replaces whole records. After a lost
// race it only has to be validated again on top of the newer revision.
SubmitResult OperatorApi::submit(const ChangeSubmission &Submission) {
  SubmitResult Result;
  for (int Attempt = 0; Attempt < MaxSubmitAttempts; ++Attempt) {
    Result = Submitter_.submit(Submission);
    if (Result.Status_ != SubmitStatus::Raced ||
        Submission.ExpectedRevision_ >= 0)
      break;
    std::this_thread::sleep_for(RaceRetryDelay);
  }
  return Result;
}

void OperatorApi::applyRecords(HttpRequest &Request, HttpResponse &Response) {
  const auto Body = readBody(Request);
  if (!Body) {
    Response.setKeepAlive(false);
    return httpkit::sendProblem(
        Response, {413, Outcome::NotRun, "records-too-large",
                   "Send at most 16 MiB of records at once.", std::nullopt});
  }
  const auto Records =
      records::parseRecords(Request.get("Ebony-Source", "request"), *Body);
  if (Records.has_error())
    return sendFindings(Response, Records.error());
  ChangeSubmission Submission = makeSubmission(Request);
  for (const records::Record &Record : Records.value())
    Submission.Changes_.push_back(
        {{std::string(toText(Record.Kind_)), Record.Name_}, Record.Json_});
  sendSubmitResult(Response, submit(Submission), new Object);
}

void OperatorApi::deleteRecord(HttpRequest &Request, HttpResponse &Response) {
  const auto Segments = pathSegments(Request.getURI());
  constexpr std::size_t SegmentCount = 4;
  if (Segments.size() != SegmentCount)
    return httpkit::sendProblem(
        Response, {404, Outcome::NotRun, "no-record",
                   "Name a record: /v1/records/<kind>/<name>.", std::nullopt});
  const config::RecordId Id{Segments[2], Segments[3]};
  const bool Exists = State_.withReplica([&](config::ConfigReplica &Replica) {
    return Replica.records().find(Id) != nullptr;
  });
  if (!Exists)
    return httpkit::sendProblem(Response,
                                {404, Outcome::NotRun, "no-record",
                                 "Name a record that exists; list them with "
                                 "\"ebonyctl list\".",
                                 std::nullopt});
  ChangeSubmission Submission = makeSubmission(Request);
  Submission.Changes_.push_back({Id, std::nullopt});
  sendSubmitResult(Response, submit(Submission), new Object);
}

void OperatorApi::createKey(HttpRequest &Request, HttpResponse &Response) {
  const auto Segments = pathSegments(Request.getURI());
  const base::CustomerName Customer(Segments.back());
  const trust::GeneratedKey Key =
      trust::KeyGenerator::generate(Customer, randomBytes());
  ChangeSubmission Submission = makeSubmission(Request);
  Submission.Changes_.push_back(
      {{"key", Key.Entry_.Id_},
       records::toJson(records::KeyRecord{
           Key.Entry_.Id_, Customer, Key.Entry_.Salt_, Key.Entry_.Hash_})});
  Object::Ptr Body = new Object;
  Body->set("name", Key.Entry_.Id_);
  Body->set("key", Key.Text_);
  sendSubmitResult(Response, submit(Submission), Body);
}

void OperatorApi::sendSubmitResult(HttpResponse &Response,
                                   const SubmitResult &Result,
                                   Object::Ptr Body) {
  switch (Result.Status_) {
  case SubmitStatus::Committed:
    return sendCommitted(Response, Result, std::move(Body));
  case SubmitStatus::Invalid:
    return sendFindings(Response, Result.Findings_);
  case SubmitStatus::Raced:
    Response.set("Ebony-Revision", std::to_string(Result.Revision_));
    return httpkit::sendProblem(
        Response,
        {409, Outcome::NotRun, "raced",
         "Read the records again and apply on top of revision " +
             std::to_string(Result.Revision_) + "; another change came first.",
         std::nullopt});
  case SubmitStatus::OperationReused:
    return httpkit::sendProblem(Response,
                                {409, Outcome::NotRun, "operation-reused",
                                 "Use a new operation id; this one belongs to "
                                 "another change.",
                                 std::nullopt});
  case SubmitStatus::Unavailable:
    return httpkit::sendProblem(Response,
                                {503, Outcome::NotRun, "table-unavailable",
                                 "Apply again later; the table service did not "
                                 "take the change.",
                                 std::chrono::seconds(1)});
  case SubmitStatus::Unknown:
    break;
  }
  httpkit::sendProblem(Response,
                       {504, Outcome::Unknown, "table-silent",
                        "Apply again with the same operation id; the table "
                        "service did not say whether it took the change.",
                        std::chrono::seconds(1)});
}

void OperatorApi::sendCommitted(HttpResponse &Response,
                                const SubmitResult &Result, Object::Ptr Body) {
  const RolloutReport Report =
      RolloutMonitor_.wait(Result.Revision_, RolloutTimeout);
  Array::Ptr PendingVms = new Array;
  for (const base::VmAddress &Vm : Report.PendingVms_)
    PendingVms->add(Vm.text());
  Body->set("revision", Result.Revision_);
  Body->set("inForceAt", Report.UpdatedVms_.size());
  Body->set("notInForceAt", PendingVms);
  sendJson(Response, 200, json::toText(Body) + "\n");
}

void OperatorApi::sendStatus(HttpRequest &, HttpResponse &Response) {
  const auto Configuration = State_.configuration();
  const RolloutReport Report =
      RolloutMonitor_.wait(Configuration->revision(), base::Duration(0));
  Object::Ptr Body = new Object;
  Body->set("revision", Configuration->revision());
  Body->set("customers", Configuration->all<records::CustomerRecord>().size());
  Body->set("upstreams", Configuration->all<records::UpstreamRecord>().size());
  Body->set("drains", Configuration->all<records::DrainRecord>().size());
  Array::Ptr Vms = new Array;
  for (const fleet::FleetMember &Member : State_.members()->all()) {
    Object::Ptr Vm = new Object;
    Vm->set("address", Member.Vm_.address().text());
    Vm->set("zone", Member.Vm_.zone().text());
    Vm->set("live", Member.IsLive_);
    Vm->set("leaving", Member.IsLeaving_);
    Vms->add(Vm);
  }
  Body->set("entryVms", Vms);
  Array::Ptr PendingVms = new Array;
  for (const base::VmAddress &Vm : Report.PendingVms_)
    PendingVms->add(Vm.text());
  Body->set("notInForceAt", PendingVms);
  sendJson(Response, 200, json::toText(Body) + "\n");
}

// A request id begins with the address of the VM that accepted the request, so
// only that VM is queried. Queries without a request id go to all VMs.
void OperatorApi::explain(HttpRequest &Request, HttpResponse &Response) {
  const std::string &Target = Request.getURI();
  const std::string RequestId = queryValue(Target, "request");
  const std::string AcceptingVm = RequestId.substr(0, RequestId.find('_'));
  const std::string Query = Poco::URI(Target).getRawQuery();
  std::string Lines;
  for (const fleet::FleetMember &Member : State_.members()->all()) {
    const std::string &Address = Member.Vm_.address().text();
    if (!RequestId.empty() && Address != AcceptingVm)
      continue;
    const httpkit::HttpClient Client({Address, Settings_.EntryAdminPort_},
                                     Settings_.Address_, ExplainTimeout);
    if (const auto Reply = Client.send({"GET", "/decisions?" + Query, "", {}}))
      Lines += Reply->Body_;
  }
  if (Lines.empty())
    return httpkit::sendProblem(Response,
                                {404, Outcome::NotRun, "no-decision",
                                 "Look in the logs of the VM; no decision of "
                                 "that kind is kept in memory any more.",
                                 std::nullopt});
  sendPlain(Response, Lines);
}

void OperatorApi::setLogLevel(HttpRequest &Request, HttpResponse &Response) {
  const std::string Level = queryValue(Request.getURI(), "level");
  std::string Lines;
  for (const std::uint16_t Port :
       {Settings_.EntryAdminPort_, Settings_.SteerPort_,
        Settings_.OperatorPort_}) {
    const httpkit::HttpClient Client({Settings_.Address_, Port},
                                     Settings_.Address_, ExplainTimeout);
    const auto Reply =
        Client.send({"PUT", "/log-level?level=" + Level, "", {}});
    Lines += std::to_string(Port) + ": " +
             (Reply ? Reply->Body_ : std::string("no answer\n"));
  }
  sendPlain(Response, Lines);
}

} // namespace ebony::agent
