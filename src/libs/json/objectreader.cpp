#include "json/objectreader.h"

#include <sstream>
#include <type_traits>
#include <utility>

namespace ebony::json {

namespace {

template <typename Number> std::string rangeText(Number Least, Number Most) {
  std::ostringstream Text;
  Text << Least << " to " << Most;
  return Text.str();
}

template <typename Number> bool isOfKind(const Poco::Dynamic::Var &Value) {
  if (Value.isBoolean() || Value.isString())
    return false;
  if constexpr (std::is_integral_v<Number>)
    return Value.isInteger();
  return Value.isNumeric();
}

} // namespace

ObjectReader::ObjectReader(std::string Source, std::string Place,
                           Poco::JSON::Object::Ptr Object,
                           base::Findings &Report)
    : Source_(std::move(Source)), Place_(std::move(Place)),
      Object_(std::move(Object)), Report_(Report) {}

std::optional<Poco::Dynamic::Var> ObjectReader::find(const std::string &Member,
                                                     bool IsRequired) {
  Asked_.insert(Member);
  if (has(Member))
    return Object_->get(Member);
  if (IsRequired)
    report(Member, "Add this member; it is required.");
  return std::nullopt;
}

bool ObjectReader::has(const std::string &Member) const {
  return Object_->has(Member) && !Object_->isNull(Member);
}

std::string ObjectReader::text(const std::string &Member) {
  const auto Value = find(Member, true);
  if (!Value)
    return {};
  if (!Value->isString() || Value->extract<std::string>().empty()) {
    report(Member, "Write a text that is not empty.");
    return {};
  }
  return Value->extract<std::string>();
}

std::string ObjectReader::textOr(const std::string &Member,
                                 const std::string &Fallback) {
  Asked_.insert(Member);
  return has(Member) ? text(Member) : Fallback;
}

template <typename Number>
Number ObjectReader::bounded(const std::string &Member,
                             std::optional<Number> Fallback, Number Least,
                             Number Most) {
  const std::optional<Poco::Dynamic::Var> Value = find(Member, !Fallback);
  if (!Value)
    return Fallback.value_or(Least);
  try {
    if (isOfKind<Number>(*Value)) {
      const auto Read = Value->convert<Number>();
      if (Read >= Least && Read <= Most)
        return Read;
    }
  } catch (const Poco::Exception &) {
    // A number that does not fit the type is out of range as well.
  }
  report(Member,
         std::string(std::is_integral_v<Number> ? "Write a whole number from "
                                                : "Write a number from ") +
             rangeText(Least, Most) + ".");
  return Fallback.value_or(Least);
}

std::int64_t ObjectReader::number(const std::string &Member, std::int64_t Least,
                                  std::int64_t Most) {
  return bounded<std::int64_t>(Member, std::nullopt, Least, Most);
}

std::int64_t ObjectReader::numberOr(const std::string &Member,
                                    std::int64_t Fallback, std::int64_t Least,
                                    std::int64_t Most) {
  return bounded<std::int64_t>(Member, Fallback, Least, Most);
}

double ObjectReader::real(const std::string &Member, double Least,
                          double Most) {
  return bounded<double>(Member, std::nullopt, Least, Most);
}

double ObjectReader::realOr(const std::string &Member, double Fallback,
                            double Least, double Most) {
  return bounded<double>(Member, Fallback, Least, Most);
}

bool ObjectReader::flagOr(const std::string &Member, bool Fallback) {
  const auto Value = find(Member, false);
  if (!Value)
    return Fallback;
  if (Value->isBoolean())
    return Value->extract<bool>();
  report(Member, "Write true or false.");
  return Fallback;
}

void ObjectReader::report(const std::string &Member,
                          const std::string &Message) {
  Report_.emplace_back(Source_, Place_ + "." + Member, Message);
}

void ObjectReader::rejectUnknown() {
  for (const auto &[Member, Value] : *Object_)
    if (Asked_.count(Member) == 0)
      report(Member, "Remove this member or correct its name; it is unknown.");
}

} // namespace ebony::json
