#include "load/reportjson.h"

#include "standin/jsonfields.h"

#include <sstream>

namespace ebony::load {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

template <typename Owner> struct CountField {
  const char *Name_;
  std::int64_t Owner::*Member_;
};

constexpr CountField<CustomerReport> CustomerCounts[] = {
    {"offered", &CustomerReport::Offered_},
    {"served", &CustomerReport::Served_},
    {"refusedWithinRate", &CustomerReport::RefusedWithinRate_},
    {"refusedOverRate", &CustomerReport::RefusedOverRate_},
    {"unknown", &CustomerReport::Unknown_},
    {"errors", &CustomerReport::Errors_},
};

constexpr CountField<Violations> ViolationCounts[] = {
    {"overRate", &Violations::OverRate_},
    {"ranTwice", &Violations::RanTwice_},
    {"falseNotRun", &Violations::FalseNotRun_},
    {"slotOverruns", &Violations::SlotOverruns_},
    {"keyLeaks", &Violations::KeyLeaks_},
    {"mismatchedAnswers", &Violations::MismatchedAnswers_},
    {"cutAsWhole", &Violations::TruncatedAnswers_},
};

Object ordered() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Object toJson(const CustomerReport &Row) {
  Object Json = ordered();
  Json.set("name", Row.Name_);
  for (const auto &Field : CustomerCounts)
    Json.set(Field.Name_, Row.*Field.Member_);
  Json.set("p50Ms", Row.Latency_.P50_);
  Json.set("p99Ms", Row.Latency_.P99_);
  Json.set("p999Ms", Row.Latency_.P999_);
  Json.set("servedShare", Row.ServedShare_);
  return Json;
}

CustomerReport parseRow(standin::JsonFields Fields) {
  CustomerReport Row;
  Row.Name_ = Fields.text("name");
  for (const auto &Field : CustomerCounts)
    Row.*Field.Member_ = Fields.whole(Field.Name_);
  Row.Latency_ = {Fields.number("p50Ms"), Fields.number("p99Ms"),
                  Fields.number("p999Ms")};
  Row.ServedShare_ = Fields.number("servedShare");
  return Row;
}

Array servicesJson(const Report &Result) {
  Array All;
  for (const ServiceReport &Service : Result.Services_) {
    Object Json = ordered();
    Json.set("name", Service.Name_);
    Json.set("headroom", Service.Headroom_);
    Json.set("leastHeadroom", Service.LeastHeadroom_);
    All.add(Json);
  }
  return All;
}

Object violationsJson(const Violations &Found) {
  Object Json = ordered();
  for (const auto &Field : ViolationCounts)
    Json.set(Field.Name_, Found.*Field.Member_);
  Json.set("total", Found.total());
  return Json;
}

} // namespace

std::string toJsonText(const Report &Result) {
  constexpr unsigned Indent = 2;
  Array Customers;
  for (const CustomerReport &Row : Result.Customers_)
    Customers.add(toJson(Row));
  Object Json = ordered();
  Json.set("workload", Result.Workload_);
  Json.set("seconds", Result.Seconds_);
  Json.set("customers", Customers);
  Json.set("total", toJson(Result.Total_));
  Json.set("services", servicesJson(Result));
  Json.set("worstServed", Result.WorstServed_);
  Json.set("latenessMs", Result.LatenessMs_);
  Json.set("violations", violationsJson(Result.Violations_));
  std::ostringstream Text;
  Json.stringify(Text, Indent);
  return Text.str() + "\n";
}

base::Checked<Report> parseReport(const std::string &Text,
                                  const std::string &Source) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, Source, Problems),
                             Source, "$", Problems);
  Report Result;
  Result.Workload_ = Fields.text("workload");
  Result.Seconds_ = Fields.number("seconds");
  for (const standin::JsonFields &Row : Fields.objects("customers"))
    Result.Customers_.push_back(parseRow(Row));
  Result.Total_ = parseRow(Fields.object("total"));
  for (standin::JsonFields &ServiceFields : Fields.objects("services"))
    Result.Services_.push_back({ServiceFields.text("name"),
                                ServiceFields.number("headroom"),
                                ServiceFields.number("leastHeadroom")});
  Result.WorstServed_ = Fields.text("worstServed");
  Result.LatenessMs_ = Fields.number("latenessMs");
  standin::JsonFields Found = Fields.object("violations");
  for (const auto &Field : ViolationCounts)
    Result.Violations_.*Field.Member_ = Found.whole(Field.Name_);
  if (!Problems.empty())
    return Problems;
  return Result;
}

} // namespace ebony::load
