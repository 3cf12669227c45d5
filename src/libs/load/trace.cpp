#include "load/trace.h"

#include "standin/jsonfields.h"

#include <algorithm>
#include <sstream>

namespace ebony::load {

namespace {

constexpr double MillisecondsPerSecond = 1000.0;

const char *outcomeName(Outcome Result) {
  switch (Result) {
  case Outcome::Served:
    return "served";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Complete:
    return "complete";
  case Outcome::NoVm:
    break;
  }
  return "no-vm";
}

Poco::JSON::Object toJson(const Workload &Load, const RequestRecord &Record) {
  const CustomerLoad &Customer = Load.Customers_[Record.Customer_];
  Poco::JSON::Object Json(Poco::JSON_PRESERVE_KEY_ORDER);
  Json.set("atMicroseconds", Record.Intended_.count());
  Json.set("customer", Customer.Customer_);
  Json.set("class", Load.Classes_[Record.Class_].Name_);
  Json.set("homeZone", Customer.HomeZones_[Record.HomeZone_]);
  Json.set("outcome", outcomeName(Record.Outcome_));
  Json.set("latencyMs", base::toSeconds(Record.Done_ - Record.Intended_) *
                            MillisecondsPerSecond);
  Poco::JSON::Array Attempts;
  for (const AttemptRecord &Recorded : Record.Attempts_) {
    Poco::JSON::Object Attempt(Poco::JSON_PRESERVE_KEY_ORDER);
    Attempt.set("requestId", Recorded.RequestId_);
    Attempt.set("outcome", outcomeName(Recorded.Outcome_));
    Attempt.set("status", Recorded.Status_);
    Attempts.add(Attempt);
  }
  Json.set("attempts", Attempts);
  return Json;
}

Arrival parseArrival(standin::JsonFields &Fields, const Workload &Load) {
  Arrival Parsed;
  Parsed.When_ = base::Duration(Fields.whole("atMicroseconds"));
  const auto Customer = std::ranges::find(
      Load.Customers_, Fields.text("customer"), &CustomerLoad::Customer_);
  const auto Class = std::ranges::find(Load.Classes_, Fields.text("class"),
                                       &RequestClass::Name_);
  const std::string Home = Fields.text("homeZone");
  if (Class == Load.Classes_.end())
    Fields.reject("class", "Name a class of the workload.");
  Parsed.Class_ = static_cast<std::size_t>(Class - Load.Classes_.begin());
  if (Customer == Load.Customers_.end()) {
    Fields.reject("customer", "Name a customer of the workload.");
    return Parsed;
  }
  Parsed.Customer_ =
      static_cast<std::size_t>(Customer - Load.Customers_.begin());
  const auto Zone = std::ranges::find(Customer->HomeZones_, Home);
  if (Zone == Customer->HomeZones_.end())
    Fields.reject("homeZone", "Name a home zone of this customer.");
  Parsed.HomeZone_ =
      static_cast<std::size_t>(Zone - Customer->HomeZones_.begin());
  return Parsed;
}

} // namespace

std::string traceText(const Workload &Load,
                      const std::vector<RequestRecord> &Records) {
  std::string Text;
  for (const RequestRecord &Record : Records)
    Text += standin::toText(toJson(Load, Record)) + "\n";
  return Text;
}

base::Checked<std::vector<Arrival>> parseTrace(const std::string &Text,
                                               const std::string &Source,
                                               const Workload &Load) {
  base::Findings Problems;
  std::vector<Arrival> Arrivals;
  std::istringstream Lines(Text);
  std::string Line;
  for (int Number = 1; std::getline(Lines, Line); ++Number) {
    const std::string LineSource = Source + ":" + std::to_string(Number);
    const std::size_t EarlierProblems = Problems.size();
    const auto Object = standin::parseObject(Line, LineSource, Problems);
    standin::JsonFields Fields(Object, LineSource, "$", Problems);
    if (Problems.size() == EarlierProblems)
      Arrivals.push_back(parseArrival(Fields, Load));
  }
  if (!Problems.empty())
    return Problems;
  std::ranges::stable_sort(Arrivals, {}, &Arrival::When_);
  return Arrivals;
}

} // namespace ebony::load
