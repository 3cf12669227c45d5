#include "standin/jsonfields.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <sstream>
#include <utility>

namespace ebony::standin {

JsonFields::JsonFields(Poco::JSON::Object::Ptr Object, std::string Source,
                       std::string Path, base::Findings &Problems)
    : Object_(std::move(Object)), Source_(std::move(Source)),
      Path_(std::move(Path)), Problems_(&Problems) {}

bool JsonFields::has(const std::string &Name) const {
  return Object_->has(Name);
}

std::optional<Poco::Dynamic::Var> JsonFields::find(const std::string &Name) {
  Known_.insert(Name);
  if (!Object_->has(Name))
    return std::nullopt;
  return Object_->get(Name);
}

std::optional<Poco::Dynamic::Var> JsonFields::require(const std::string &Name) {
  auto Value = find(Name);
  if (!Value)
    reject(Name, "Add this member.");
  return Value;
}

std::string JsonFields::asText(const std::string &Name,
                               const Poco::Dynamic::Var &Value) {
  if (Value.isString())
    return Value.extract<std::string>();
  reject(Name, "Give a text in quotes.");
  return {};
}

std::int64_t JsonFields::asWhole(const std::string &Name,
                                 const Poco::Dynamic::Var &Value) {
  if (Value.isInteger() && !Value.isBoolean())
    return Value.convert<std::int64_t>();
  reject(Name, "Give a whole number.");
  return 0;
}

double JsonFields::asNumber(const std::string &Name,
                            const Poco::Dynamic::Var &Value) {
  if (Value.isNumeric() && !Value.isBoolean() && !Value.isString())
    return Value.convert<double>();
  reject(Name, "Give a number.");
  return 0;
}

std::string JsonFields::text(const std::string &Name) {
  const auto Value = require(Name);
  return Value ? asText(Name, *Value) : std::string();
}

std::string JsonFields::text(const std::string &Name,
                             const std::string &Default) {
  const auto Value = find(Name);
  return Value ? asText(Name, *Value) : Default;
}

std::int64_t JsonFields::whole(const std::string &Name) {
  const auto Value = require(Name);
  return Value ? asWhole(Name, *Value) : 0;
}

std::int64_t JsonFields::whole(const std::string &Name, std::int64_t Default) {
  const auto Value = find(Name);
  return Value ? asWhole(Name, *Value) : Default;
}

double JsonFields::number(const std::string &Name) {
  const auto Value = require(Name);
  return Value ? asNumber(Name, *Value) : 0;
}

double JsonFields::number(const std::string &Name, double Default) {
  const auto Value = find(Name);
  return Value ? asNumber(Name, *Value) : Default;
}

bool JsonFields::flag(const std::string &Name, bool Default) {
  const auto Value = find(Name);
  if (!Value)
    return Default;
  if (Value->isBoolean())
    return Value->extract<bool>();
  reject(Name, "Give true or false.");
  return Default;
}

base::Duration JsonFields::milliseconds(const std::string &Name,
                                        base::Duration Default) {
  constexpr double MillisecondsPerSecond = 1000.0;
  const auto Value = find(Name);
  if (!Value)
    return Default;
  const double Milliseconds = asNumber(Name, *Value);
  if (Milliseconds < 0)
    reject(Name, "Give a number of milliseconds that is not negative.");
  return base::fromSeconds(Milliseconds / MillisecondsPerSecond);
}

std::uint16_t JsonFields::port(const std::string &Name) {
  const std::int64_t Value = whole(Name);
  if (Value < 0 || Value > UINT16_MAX) {
    reject(Name, "Give a port number from 0 to 65535.");
    return 0;
  }
  return static_cast<std::uint16_t>(Value);
}

Poco::JSON::Array::Ptr JsonFields::array(const std::string &Name) {
  const auto Value = find(Name);
  if (!Value)
    return new Poco::JSON::Array;
  if (Value->type() == typeid(Poco::JSON::Array::Ptr))
    return Value->extract<Poco::JSON::Array::Ptr>();
  reject(Name, "Give an array.");
  return new Poco::JSON::Array;
}

std::vector<JsonFields> JsonFields::objects(const std::string &Name) {
  std::vector<JsonFields> Elements;
  const Poco::JSON::Array::Ptr Array = array(Name);
  for (unsigned Index = 0; Index < Array->size(); ++Index) {
    const std::string ElementPath = Name + "[" + std::to_string(Index) + "]";
    if (Array->isObject(Index))
      Elements.emplace_back(Array->getObject(Index), Source_,
                            Path_ + "." + ElementPath, *Problems_);
    else
      reject(ElementPath, "Give an object.");
  }
  return Elements;
}

std::vector<double> JsonFields::numbers(const std::string &Name) {
  std::vector<double> Elements;
  const Poco::JSON::Array::Ptr Array = array(Name);
  for (unsigned Index = 0; Index < Array->size(); ++Index)
    Elements.push_back(
        asNumber(Name + "[" + std::to_string(Index) + "]", Array->get(Index)));
  return Elements;
}

std::vector<std::string> JsonFields::texts(const std::string &Name) {
  std::vector<std::string> Elements;
  const Poco::JSON::Array::Ptr Array = array(Name);
  for (unsigned Index = 0; Index < Array->size(); ++Index)
    Elements.push_back(
        asText(Name + "[" + std::to_string(Index) + "]", Array->get(Index)));
  return Elements;
}

JsonFields JsonFields::object(const std::string &Name) {
  const std::string ElementPath = Path_ + "." + Name;
  if (find(Name) && Object_->isObject(Name))
    return {Object_->getObject(Name), Source_, ElementPath, *Problems_};
  if (Object_->has(Name))
    reject(Name, "Give an object.");
  return {new Poco::JSON::Object, Source_, ElementPath, *Problems_};
}

std::string JsonFields::json() const { return toText(*Object_); }

std::vector<std::string> JsonFields::names() const {
  return Object_->getNames();
}

void JsonFields::rejectUnknown() {
  for (const std::string &Name : Object_->getNames())
    if (!Known_.contains(Name))
      reject(Name, "Remove this unknown member or correct its name.");
}

void JsonFields::reject(const std::string &Name, const std::string &Message) {
  Problems_->emplace_back(Source_, Path_ + "." + Name, Message);
}

Poco::JSON::Object::Ptr parseObject(const std::string &Text,
                                    const std::string &Source,
                                    base::Findings &Problems) {
  try {
    Poco::JSON::Parser Parser;
    const Poco::Dynamic::Var Parsed = Parser.parse(Text);
    if (Parsed.type() == typeid(Poco::JSON::Object::Ptr))
      return Parsed.extract<Poco::JSON::Object::Ptr>();
    Problems.emplace_back(Source, "$", "Write one JSON object.");
  } catch (const Poco::Exception &Error) {
    Problems.emplace_back(Source, "$",
                          "Correct the JSON syntax: " + Error.displayText());
  }
  return new Poco::JSON::Object;
}

std::string toText(const Poco::JSON::Object &Object) {
  std::ostringstream Text;
  Object.stringify(Text);
  return Text.str();
}

} // namespace ebony::standin
