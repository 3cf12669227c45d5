#include "control/commands.h"

#include "records/recordparser.h"
#include "records/recordtext.h"
#include "json/jsontext.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <random>
#include <sstream>

namespace ebony::control {

namespace {

using Poco::JSON::Object;

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

std::string encode(const std::string &Text) {
  std::string Result;
  Poco::URI::encode(Text, "!?#/'\",;:$&()[]*+=@", Result);
  return Result;
}

std::string newOperationId() {
  std::random_device Source;
  std::ostringstream Text;
  Text << "ctl-" << std::hex << Source() << Source() << Source();
  return Text.str();
}

Object::Ptr parseObject(const std::string &Text) {
  const auto Value = json::parseText("answer", Text);
  if (Value.has_error() || Value.value().type() != typeid(Object::Ptr))
    return new Object;
  return Value.value().extract<Object::Ptr>();
}

} // namespace

const Commands::Command Commands::CommandTable[] = {
    {"check", 1, "check FILE: reports all findings; changes nothing",
     &Commands::check},
    {"apply", 1, "apply FILE: applies all records of the file",
     &Commands::apply},
    {"get", 2, "get KIND NAME: shows one record", &Commands::get},
    {"list", 1, "list KIND: shows all records of a kind", &Commands::list},
    {"remove", 2, "remove KIND NAME: removes one record", &Commands::remove},
    {"keys create", 1, "keys create CUSTOMER: creates a key and shows it once",
     &Commands::createKey},
    {"keys withdraw", 1, "keys withdraw NAME: withdraws a key",
     &Commands::withdrawKey},
    {"drain", 1, "drain UPSTREAM: sends it no new requests", &Commands::drain},
    {"undrain", 1, "undrain UPSTREAM: sends it requests again",
     &Commands::undrain},
    {"shift", 1, "shift FILE: applies a file with shift records",
     &Commands::shift},
    {"status", 0,
     "status: shows the revision, the VMs and those that have not "
     "applied it",
     &Commands::status},
    {"explain", 1, "explain REQUEST-ID: shows the decisions on a request",
     &Commands::explain},
    {"why", 2,
     "why customer|service NAME: shows the latest decisions on a customer or "
     "service",
     &Commands::why},
    {"log-level", 1,
     "log-level info|warning|error: sets the log level of the daemons on the "
     "agent's VM",
     &Commands::setLogLevel},
};

Commands::Commands(const OperatorClient &Client, std::int64_t BaseRevision,
                   std::ostream &Output, std::ostream &Errors)
    : Client_(Client), BaseRevision_(BaseRevision), Output_(Output),
      Errors_(Errors) {}

std::string Commands::usage() {
  std::string Text = "Commands:\n";
  for (const Command &Entry : CommandTable)
    Text += std::string("  ") + Entry.Usage_ + "\n";
  return Text;
}

ExitCode Commands::run(const ArgumentList &Arguments) {
  for (const Command &Entry : CommandTable) {
    std::istringstream Name(Entry.Name_);
    ArgumentList NameWords{std::istream_iterator<std::string>(Name), {}};
    if (Arguments.size() != NameWords.size() + Entry.ArgumentCount_ ||
        !std::equal(NameWords.begin(), NameWords.end(), Arguments.begin()))
      continue;
    return (this->*Entry.Handler_)(ArgumentList(
        Arguments.begin() + static_cast<std::ptrdiff_t>(NameWords.size()),
        Arguments.end()));
  }
  Errors_ << "Use one of these commands.\n" << usage();
  return ExitCode::BadUsage;
}

ExitCode Commands::reportFindings(const base::Findings &Report) {
  Errors_ << base::toText(Report);
  return ExitCode::Refused;
}

ExitCode Commands::reportProblem(const httpkit::SmallResponse &Answer) {
  const Object::Ptr Body = parseObject(Answer.Body_);
  if (const auto List = Body->getArray("findings")) {
    for (unsigned Index = 0; Index < List->size(); ++Index) {
      const auto Finding = List->getObject(Index);
      Errors_ << base::Finding(Finding->optValue<std::string>("source", ""),
                               Finding->optValue<std::string>("path", ""),
                               Finding->optValue<std::string>("message", ""))
                     .text()
              << '\n';
    }
    return ExitCode::Refused;
  }
  Errors_ << Body->optValue<std::string>("detail", Answer.Body_) << '\n';
  return Answer.Status_ == StatusConflict ? ExitCode::Raced : ExitCode::Refused;
}

ExitCode Commands::check(const ArgumentList &Arguments) {
  const auto Text = json::readFile(Arguments[0]);
  if (Text.has_error())
    return reportFindings(Text.error());
  const auto Records = records::parseRecords(Arguments[0], Text.value());
  if (Records.has_error())
    return reportFindings(Records.error());
  Output_ << Records.value().size() << " records are well-formed\n";
  return ExitCode::Done;
}

ExitCode Commands::apply(const ArgumentList &Arguments) {
  const auto Text = json::readFile(Arguments[0]);
  if (Text.has_error())
    return reportFindings(Text.error());
  return applyText(Arguments[0], Text.value());
}

ExitCode Commands::applyText(const std::string &Source,
                             const std::string &Text) {
  const auto Records = records::parseRecords(Source, Text);
  if (Records.has_error())
    return reportFindings(Records.error());
  return submitChange("POST", "/v1/records", Text, Source);
}

ExitCode Commands::submitChange(const std::string &Method,
                                const std::string &Target,
                                const std::string &Body,
                                const std::string &Source) {
  std::vector<httpkit::Header> Headers{{"Ebony-Operation-Id", newOperationId()},
                                       {"Ebony-Source", Source}};
  if (BaseRevision_ != NewestRevision)
    Headers.push_back({"If-Match", std::to_string(BaseRevision_)});
  const auto Answer = Client_.call(Method, Target, Body, Headers);
  if (Answer.has_error())
    return reportFindings(Answer.error());
  if (Answer.value().Status_ != StatusOk)
    return reportProblem(Answer.value());
  const Object::Ptr Result = parseObject(Answer.value().Body_);
  Output_ << "revision " << Result->optValue<std::string>("revision", "?")
          << " in force at " << Result->optValue<std::string>("inForceAt", "?")
          << " entry VMs\n";
  const auto PendingVms = Result->getArray("notInForceAt");
  for (unsigned Index = 0; PendingVms && Index < PendingVms->size(); ++Index)
    Output_ << "not in force at " << PendingVms->getElement<std::string>(Index)
            << '\n';
  if (Result->has("key"))
    Output_ << "key name " << Result->getValue<std::string>("name") << '\n'
            << Result->getValue<std::string>("key") << '\n';
  return ExitCode::Done;
}

ExitCode Commands::printResponse(const std::string &Target) {
  const auto Answer = Client_.call("GET", Target, "", {});
  if (Answer.has_error())
    return reportFindings(Answer.error());
  if (Answer.value().Status_ != StatusOk)
    return reportProblem(Answer.value());
  Output_ << Answer.value().Body_;
  return ExitCode::Done;
}

ExitCode Commands::get(const ArgumentList &Arguments) {
  return printResponse("/v1/records/" + encode(Arguments[0]) + "/" +
                       encode(Arguments[1]));
}

ExitCode Commands::list(const ArgumentList &Arguments) {
  return printResponse("/v1/records?kind=" + encode(Arguments[0]));
}

ExitCode Commands::remove(const ArgumentList &Arguments) {
  return submitChange("DELETE",
                      "/v1/records/" + encode(Arguments[0]) + "/" +
                          encode(Arguments[1]),
                      "", "");
}

ExitCode Commands::createKey(const ArgumentList &Arguments) {
  return submitChange("POST", "/v1/keys/" + encode(Arguments[0]), "", "");
}

ExitCode Commands::withdrawKey(const ArgumentList &Arguments) {
  return remove({"key", Arguments[0]});
}

ExitCode Commands::drain(const ArgumentList &Arguments) {
  return applyText("drain",
                   records::drainJson("drain-" + Arguments[0], Arguments[0]));
}

ExitCode Commands::undrain(const ArgumentList &Arguments) {
  return remove({"drain", "drain-" + Arguments[0]});
}

ExitCode Commands::shift(const ArgumentList &Arguments) {
  return apply(Arguments);
}

ExitCode Commands::status(const ArgumentList &) {
  return printResponse("/v1/status");
}

ExitCode Commands::explain(const ArgumentList &Arguments) {
  return printResponse("/v1/explain?request=" + encode(Arguments[0]));
}

ExitCode Commands::why(const ArgumentList &Arguments) {
  return printResponse("/v1/explain?" + encode(Arguments[0]) + "=" +
                       encode(Arguments[1]));
}

ExitCode Commands::setLogLevel(const ArgumentList &Arguments) {
  const auto Answer = Client_.call(
      "PUT", "/v1/log-level?level=" + encode(Arguments[0]), "", {});
  if (Answer.has_error())
    return reportFindings(Answer.error());
  Output_ << Answer.value().Body_;
  return Answer.value().Status_ == StatusOk ? ExitCode::Done
                                            : ExitCode::Refused;
}

} // namespace ebony::control
