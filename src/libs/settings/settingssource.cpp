#include "settings/settingssource.h"

#include "json/jsontext.h"

#include <gflags/gflags.h>

namespace ebony::settings {

namespace {

Poco::Dynamic::Var toJsonValue(const gflags::CommandLineFlagInfo &Flag) {
  if (Flag.type == "int32" || Flag.type == "int64")
    return {static_cast<std::int64_t>(std::stoll(Flag.current_value))};
  if (Flag.type == "bool")
    return {Flag.current_value == "true"};
  return {Flag.current_value};
}

} // namespace

base::Checked<Poco::JSON::Object::Ptr>
loadSettings(const std::string &Path,
             const std::vector<FlagOverride> &Overrides) {
  if (Path.empty())
    return base::Findings{
        {"", "", "Name the settings file with --settings=FILE."}};
  BOOST_OUTCOME_TRY(Text, json::readFile(Path));
  BOOST_OUTCOME_TRY(Value, json::parseText(Path, Text));
  if (Value.type() != typeid(Poco::JSON::Object::Ptr))
    return base::Findings{{Path, "$", "Write the settings as a JSON object."}};
  auto Object = Value.template extract<Poco::JSON::Object::Ptr>();
  for (const FlagOverride &Override : Overrides) {
    gflags::CommandLineFlagInfo Flag;
    if (gflags::GetCommandLineFlagInfo(Override.Flag_.c_str(), &Flag) &&
        !Flag.is_default)
      Object->set(Override.Member_, toJsonValue(Flag));
  }
  return Object;
}

} // namespace ebony::settings
