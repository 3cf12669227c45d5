#include "agent/operatorapi.h"

#include "agent/operatoranswer.h"
#include "httpkit/httpclient.h"
#include "httpkit/problem.h"
#include "records/recordparser.h"
#include "records/recordtext.h"
#include "trust/keygenerator.h"
#include "trust/keyhash.h"
#include "json/jsontext.h"

#include <Poco/JSON/Array.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

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
constexpr base::Duration CatchUpPause = std::chrono::milliseconds(100);
constexpr base::Duration InForceTimeout = std::chrono::seconds(6);
constexpr base::Duration ExplainTimeout = std::chrono::seconds(2);

/// Parts of a path such as /v1/records/customer/atlas.
std::vector<std::string> pathParts(const std::string &Target) {
  std::vector<std::string> Parts;
  Poco::URI(Target).getPathSegments(Parts);
  return Parts;
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  for (const auto &[Key, Value] : Poco::URI(Target).getQueryParameters())
    if (Key == Name)
      return Value;
  return {};
}

std::string randomOperation() {
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

std::string readBody(Poco::Net::HTTPServerRequest &Question) {
  std::string Body;
  if (Question.getContentLength64() <= MaxBodyBytes)
    Poco::StreamCopier::copyToString(Question.stream(), Body);
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
                         const InForceWatch &Watch)
    : Settings_(Settings), State_(State), Submitter_(Submitter), Watch_(Watch) {
}

bool OperatorApi::answer(Request &Question, Response &Answer) {
  const std::string Path = Poco::URI(Question.getURI()).getPath();
  for (const ApiRoute &Route : Routes) {
    const std::string Prefix = Route.Prefix_;
    if (Question.getMethod() != Route.Verb_ ||
        Path.compare(0, Prefix.size(), Prefix) != 0)
      continue;
    if (!isOperator(Question)) {
      Answer.setKeepAlive(false);
      httpkit::sendProblem(Answer,
                           {401, Outcome::NotRun, "operator-token",
                            "Send the operator's token: Authorization: Bearer "
                            "<token>.",
                            std::nullopt});
      return true;
    }
    (this->*Route.Answer_)(Question, Answer);
    return true;
  }
  return false;
}

bool OperatorApi::isOperator(const Request &Question) const {
  const std::string Expected = "Bearer " + Settings_.OperatorToken_;
  return trust::equalInConstantTime(Question.get("Authorization", ""),
                                    Expected);
}

void OperatorApi::listRecords(Request &Question, Response &Answer) {
  const auto Parts = pathParts(Question.getURI());
  const std::string Kind =
      Parts.size() > 2 ? Parts[2] : queryValue(Question.getURI(), "kind");
  const std::string Name = Parts.size() > 3 ? Parts[3] : "";
  std::string Text = "[";
  config::Revision Revision = 0;
  State_.withReplica([&](config::ConfigReplica &Replica) {
    Revision = Replica.revision();
    Replica.records().visit([&](const config::Record &One) {
      const bool IsWanted = (Kind.empty() || One.id().Kind_ == Kind) &&
                            (Name.empty() || One.id().Name_ == Name);
      if (IsWanted)
        Text += (Text.size() > 1 ? ",\n" : "") + One.text();
    });
    return true;
  });
  if (!Name.empty() && Text == "[")
    return httpkit::sendProblem(Answer,
                                {404, Outcome::NotRun, "no-record",
                                 "Name a record that exists; list them with "
                                 "\"ebonyctl list\".",
                                 std::nullopt});
  Answer.set("Ebony-Revision", std::to_string(Revision));
  sendJson(Answer, 200, Text + "]\n");
}

Submission OperatorApi::newSubmission(const Request &Question) const {
  Submission One;
  One.Operation_ = config::OperationId(
      Question.get("Ebony-Operation-Id", randomOperation()));
  const std::string Expected = Question.get("If-Match", "");
  if (!Expected.empty() &&
      Expected.find_first_not_of("0123456789") == std::string::npos)
    One.ExpectedRevision_ = std::stoll(Expected);
  return One;
}

// A change that names no expected revision replaces whole records, so losing a
// race only means that it has to be checked again on top of the winner.
SubmitResult OperatorApi::submit(const Submission &One) {
  SubmitResult Result;
  for (int Attempt = 0; Attempt < MaxSubmitAttempts; ++Attempt) {
    Result = Submitter_.submit(One);
    if (Result.Status_ != SubmitStatus::Raced || One.ExpectedRevision_ >= 0)
      break;
    std::this_thread::sleep_for(CatchUpPause);
  }
  return Result;
}

void OperatorApi::applyRecords(Request &Question, Response &Answer) {
  const auto Records = records::parseRecords(
      Question.get("Ebony-Source", "request"), readBody(Question));
  if (Records.has_error())
    return sendFindings(Answer, Records.error());
  Submission One = newSubmission(Question);
  for (const records::Record &Record : Records.value())
    One.Changes_.push_back(
        {{std::string(toText(Record.Kind_)), Record.Name_}, Record.Json_});
  sendResult(Answer, submit(One), new Object);
}

void OperatorApi::deleteRecord(Request &Question, Response &Answer) {
  const auto Parts = pathParts(Question.getURI());
  constexpr std::size_t PartCount = 4;
  if (Parts.size() != PartCount)
    return httpkit::sendProblem(
        Answer, {404, Outcome::NotRun, "no-record",
                 "Name a record: /v1/records/<kind>/<name>.", std::nullopt});
  const config::RecordId Id{Parts[2], Parts[3]};
  const bool Exists = State_.withReplica([&](config::ConfigReplica &Replica) {
    return Replica.records().find(Id) != nullptr;
  });
  if (!Exists)
    return httpkit::sendProblem(Answer,
                                {404, Outcome::NotRun, "no-record",
                                 "Name a record that exists; list them with "
                                 "\"ebonyctl list\".",
                                 std::nullopt});
  Submission One = newSubmission(Question);
  One.Changes_.push_back({Id, std::nullopt});
  sendResult(Answer, submit(One), new Object);
}

void OperatorApi::createKey(Request &Question, Response &Answer) {
  const auto Parts = pathParts(Question.getURI());
  const base::CustomerName Customer(Parts.back());
  const trust::GeneratedKey Key =
      trust::KeyGenerator::generate(Customer, randomBytes());
  Submission One = newSubmission(Question);
  One.Changes_.push_back(
      {{"key", Key.Entry_.Id_},
       records::toJson(records::KeyRecord{
           Key.Entry_.Id_, Customer, Key.Entry_.Salt_, Key.Entry_.Hash_})});
  Object::Ptr Extra = new Object;
  Extra->set("name", Key.Entry_.Id_);
  Extra->set("key", Key.Text_);
  sendResult(Answer, submit(One), Extra);
}

void OperatorApi::sendResult(Response &Answer, const SubmitResult &Result,
                             Object::Ptr Extra) {
  switch (Result.Status_) {
  case SubmitStatus::Committed:
    return sendCommitted(Answer, Result, std::move(Extra));
  case SubmitStatus::Invalid:
    return sendFindings(Answer, Result.Findings_);
  case SubmitStatus::Raced:
    Answer.set("Ebony-Revision", std::to_string(Result.Revision_));
    return httpkit::sendProblem(
        Answer,
        {409, Outcome::NotRun, "raced",
         "Read the records again and apply on top of revision " +
             std::to_string(Result.Revision_) + "; another change came first.",
         std::nullopt});
  case SubmitStatus::OperationReused:
    return httpkit::sendProblem(Answer,
                                {409, Outcome::NotRun, "operation-reused",
                                 "Use a new operation id; this one belongs to "
                                 "another change.",
                                 std::nullopt});
  case SubmitStatus::Unavailable:
    return httpkit::sendProblem(Answer,
                                {503, Outcome::NotRun, "table-unavailable",
                                 "Apply again later; the table service did not "
                                 "take the change.",
                                 std::chrono::seconds(1)});
  case SubmitStatus::Unknown:
    break;
  }
  httpkit::sendProblem(Answer,
                       {504, Outcome::Unknown, "table-silent",
                        "Apply again with the same operation id; the table "
                        "service did not say whether it took the change.",
                        std::chrono::seconds(1)});
}

void OperatorApi::sendCommitted(Response &Answer, const SubmitResult &Result,
                                Object::Ptr Extra) {
  const InForceReport Report = Watch_.wait(Result.Revision_, InForceTimeout);
  Array::Ptr Missing = new Array;
  for (const base::VmAddress &One : Report.NotInForce_)
    Missing->add(One.text());
  Extra->set("revision", Result.Revision_);
  Extra->set("inForceAt", Report.InForce_.size());
  Extra->set("notInForceAt", Missing);
  sendJson(Answer, 200, json::toText(Extra) + "\n");
}

void OperatorApi::sendStatus(Request &, Response &Answer) {
  const auto Configuration = State_.configuration();
  const InForceReport Report =
      Watch_.wait(Configuration->revision(), base::Duration(0));
  Object::Ptr Body = new Object;
  Body->set("revision", Configuration->revision());
  Body->set("customers", Configuration->all<records::CustomerRecord>().size());
  Body->set("upstreams", Configuration->all<records::UpstreamRecord>().size());
  Body->set("drains", Configuration->all<records::DrainRecord>().size());
  Array::Ptr Vms = new Array;
  for (const fleet::FleetMember &One : State_.members()->all()) {
    Object::Ptr Vm = new Object;
    Vm->set("address", One.Vm_.address().text());
    Vm->set("zone", One.Vm_.zone().text());
    Vm->set("live", One.IsLive_);
    Vm->set("leaving", One.IsLeaving_);
    Vms->add(Vm);
  }
  Body->set("entryVms", Vms);
  Array::Ptr Missing = new Array;
  for (const base::VmAddress &One : Report.NotInForce_)
    Missing->add(One.text());
  Body->set("notInForceAt", Missing);
  sendJson(Answer, 200, json::toText(Body) + "\n");
}

// The request id begins with the address of the VM that took the request; what
// no VM is named for is asked of all of them.
void OperatorApi::explain(Request &Question, Response &Answer) {
  const std::string &Target = Question.getURI();
  const std::string RequestId = queryValue(Target, "request");
  const std::string Named = RequestId.substr(0, RequestId.find('_'));
  const std::string Query = Poco::URI(Target).getRawQuery();
  std::string Lines;
  for (const fleet::FleetMember &One : State_.members()->all()) {
    const std::string &Address = One.Vm_.address().text();
    if (!RequestId.empty() && Address != Named)
      continue;
    const httpkit::HttpClient Client({Address, Settings_.EntryAdminPort_},
                                     Settings_.Address_, ExplainTimeout);
    if (const auto Found = Client.send({"GET", "/decisions?" + Query, "", {}}))
      Lines += Found->Body_;
  }
  if (Lines.empty())
    return httpkit::sendProblem(Answer,
                                {404, Outcome::NotRun, "no-decision",
                                 "Look in the logs of the VM; no decision of "
                                 "that kind is kept in memory any more.",
                                 std::nullopt});
  sendPlain(Answer, Lines);
}

void OperatorApi::setLogLevel(Request &Question, Response &Answer) {
  const std::string Level = queryValue(Question.getURI(), "level");
  std::string Lines;
  for (const std::uint16_t Port :
       {Settings_.EntryAdminPort_, Settings_.SteerPort_,
        Settings_.OperatorPort_}) {
    const httpkit::HttpClient Client({Settings_.Address_, Port},
                                     Settings_.Address_, ExplainTimeout);
    const auto Done = Client.send({"PUT", "/log-level?level=" + Level, "", {}});
    Lines += std::to_string(Port) + ": " +
             (Done ? Done->Body_ : std::string("no answer\n"));
  }
  sendPlain(Answer, Lines);
}

} // namespace ebony::agent
