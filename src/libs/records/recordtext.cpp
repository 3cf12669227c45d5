#include "records/recordtext.h"

#include "json/jsontext.h"

#include <Poco/JSON/Object.h>

namespace ebony::records {

namespace {

constexpr int NewestSchemaVersion = 2;

Poco::JSON::Object::Ptr newRecord(const char *Kind, const std::string &Name) {
  Poco::JSON::Object::Ptr Object = new Poco::JSON::Object;
  Object->set("schemaVersion", NewestSchemaVersion);
  Object->set("kind", Kind);
  Object->set("name", Name);
  return Object;
}

} // namespace

std::string toJson(const KeyRecord &Key) {
  auto Object = newRecord("key", Key.Name_);
  Object->set("customer", Key.Customer_.text());
  Object->set("saltHex", Key.SaltHex_);
  Object->set("hashHex", Key.HashHex_);
  return json::toText(Object);
}

std::string drainJson(const std::string &Name, const std::string &Upstream) {
  auto Object = newRecord("drain", Name);
  Object->set("upstream", Upstream);
  return json::toText(Object);
}

} // namespace ebony::records
