#include "records/configurationbuilder.h"
#include "records/recordparser.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::records;

namespace {

Configuration configurationOf(const char *Text) {
  ConfigurationBuilder Builder{Configuration()};
  const auto Records = parseRecords("test", Text);
  BOOST_TEST_REQUIRE(Records.has_value());
  for (const Record &Parsed : Records.value())
    Builder.put(Parsed);
  return Builder.build(1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(configurationtest)

BOOST_AUTO_TEST_CASE(findsRouteWithLongestPrefix) {
  const Configuration Config = configurationOf(R"([
    {"schemaVersion":2,"kind":"route","name":"all","service":"s","pathPrefix":"/"},
    {"schemaVersion":2,"kind":"route","name":"help","service":"s","pathPrefix":"/help","access":"open"}])");
  BOOST_TEST(Config.findRoute(base::ServiceName("s"), "/help/1")->Name_ ==
             "help");
  BOOST_TEST(Config.findRoute(base::ServiceName("s"), "/other")->Name_ ==
             "all");
  BOOST_TEST((Config.findRoute(base::ServiceName("t"), "/") == nullptr));
}

BOOST_AUTO_TEST_CASE(reportsAllMissingReferencesAndDuplicateEndpoints) {
  ConfigurationBuilder Builder(configurationOf(R"([
    {"schemaVersion":2,"kind":"zone","name":"z","region":"gone"},
    {"schemaVersion":2,"kind":"drain","name":"d","upstream":"gone"},
    {"schemaVersion":2,"kind":"upstream","name":"u","service":"s","zone":"z","address":"10.0.0.1","port":1,"slots":1},
    {"schemaVersion":2,"kind":"upstream","name":"v","service":"s","zone":"z","address":"10.0.0.1","port":1,"slots":1}])"));
  const std::string Text = base::toText(Builder.check("apply"));
  for (const char *Part : {"zone z: $.region", "drain d: $.upstream",
                           "upstream u: $.service", "upstream v: $.address"})
    BOOST_TEST(Text.find(Part) != std::string::npos, Part << " in " << Text);
}

BOOST_AUTO_TEST_CASE(removalKeepsPreviousConfigurationUnchanged) {
  const Configuration Before =
      configurationOf(R"({"schemaVersion":2,"kind":"region","name":"r"})");
  ConfigurationBuilder Builder(Before);
  Builder.remove(RecordKind::Region, "r");
  BOOST_TEST((Builder.build(2).find<RegionRecord>("r") == nullptr));
  BOOST_TEST((Before.find<RegionRecord>("r") != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
