#include "load/workload.h"

#include "standin/jsonfields.h"

#include <algorithm>

namespace ebony::load {

namespace {

RequestClass parseClass(standin::JsonFields &Fields) {
  RequestClass Result;
  Result.Name_ = Fields.text("name");
  Result.Service_ = Fields.text("service");
  Result.Method_ = Fields.text("method");
  Result.Path_ = Fields.text("path");
  Result.BodyBytes_ = Fields.whole("bodyBytes", 0);
  Result.Deadline_ = Fields.milliseconds("deadlineMs", Result.Deadline_);
  Result.HasIdempotencyKey_ = Fields.flag("idempotencyKey", false);
  Fields.rejectUnknown();
  return Result;
}

std::vector<ClassWeight> parseMix(standin::JsonFields Fields,
                                  const std::vector<RequestClass> &Classes) {
  std::vector<ClassWeight> Mix;
  for (const std::string &Name : Fields.names()) {
    const auto Found = std::ranges::find(Classes, Name, &RequestClass::Name_);
    if (Found == Classes.end())
      Fields.reject(Name, "Name a class of this file.");
    else
      Mix.push_back({static_cast<std::size_t>(Found - Classes.begin()),
                     Fields.number(Name)});
  }
  if (Mix.empty())
    Fields.reject("*", "Give at least one class.");
  return Mix;
}

CustomerLoad parseCustomer(standin::JsonFields &Fields,
                           const std::vector<RequestClass> &Classes) {
  CustomerLoad Result;
  Result.Customer_ = Fields.text("customer");
  Result.RequestsPerSecond_ = Fields.number("requestsPerSecond");
  Result.HomeZones_ = Fields.texts("homeZones");
  Result.Mix_ = parseMix(Fields.object("mix"), Classes);
  if (Result.RequestsPerSecond_ <= 0)
    Fields.reject("requestsPerSecond", "Give a number above zero.");
  if (Result.HomeZones_.empty())
    Fields.reject("homeZones", "Give at least one zone.");
  Fields.rejectUnknown();
  return Result;
}

} // namespace

base::Checked<Workload> parseWorkload(const std::string &Text,
                                      const std::string &Source) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, Source, Problems),
                             Source, "$", Problems);
  Workload Result;
  Result.Name_ = Fields.text("name");
  Result.Seed_ = static_cast<std::uint64_t>(Fields.whole("seed"));
  Result.Workers_ = static_cast<int>(Fields.whole("workers"));
  Result.MaxAttempts_ = static_cast<int>(Fields.whole("maxAttempts", 1));
  for (standin::JsonFields &EntryFields : Fields.objects("classes"))
    Result.Classes_.push_back(parseClass(EntryFields));
  for (standin::JsonFields &EntryFields : Fields.objects("customers"))
    Result.Customers_.push_back(parseCustomer(EntryFields, Result.Classes_));
  if (Result.Workers_ < 1)
    Fields.reject("workers", "Give at least one worker.");
  Fields.rejectUnknown();
  if (!Problems.empty())
    return Problems;
  return Result;
}

} // namespace ebony::load
