#include "platform/vmlist.h"

#include "json/jsontext.h"
#include "json/objectreader.h"

#include <Poco/JSON/Array.h>

namespace ebony::platform {

base::Checked<VmList> parseVmList(const std::string &Text) {
  const std::string Source = "VM list";
  const base::Findings MalformedList{
      {Source, "$.vms",
       "The platform must return a JSON object with the array \"vms\"."}};
  BOOST_OUTCOME_TRY(Value, json::parseText(Source, Text));
  if (Value.type() != typeid(Poco::JSON::Object::Ptr))
    return MalformedList;
  const auto Vms =
      Value.template extract<Poco::JSON::Object::Ptr>()->getArray("vms");
  if (!Vms)
    return MalformedList;
  base::Findings Report;
  VmList List;
  for (unsigned Index = 0; Index < Vms->size(); ++Index) {
    const auto Object = Vms->getObject(Index);
    if (!Object)
      return MalformedList;
    json::ObjectReader Reader(Source, "$.vms[" + std::to_string(Index) + "]",
                              Object, Report);
    List.push_back({base::VmAddress(Reader.text("address")),
                    base::ZoneName(Reader.text("zone")),
                    Reader.text("state") == "leaving"});
  }
  if (!Report.empty())
    return Report;
  return List;
}

} // namespace ebony::platform
