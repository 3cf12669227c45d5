#include "records/recordparser.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::records;

BOOST_AUTO_TEST_SUITE(recordparsertest)

BOOST_AUTO_TEST_CASE(parsesBothCustomerSchemasToTheSameRecord) {
  const auto Old = parseRecord(
      "old.json",
      R"({"schemaVersion":1,"kind":"customer","name":"atlas","rate":5,"burst":10})");
  const auto New = parseRecord(
      "new.json",
      R"({"schemaVersion":2,"kind":"customer","name":"atlas","requestsPerSecond":5,"burstRequests":10})");
  BOOST_TEST_REQUIRE(Old.has_value());
  BOOST_TEST_REQUIRE(New.has_value());
  BOOST_TEST((Old.value().Body_ == New.value().Body_));
}

BOOST_AUTO_TEST_CASE(parsesBothUpstreamSchemasToTheSameRecord) {
  const auto Old = parseRecord(
      "old.json",
      R"({"schemaVersion":1,"kind":"upstream","name":"u","service":"s","zone":"z","host":"10.0.0.1:9000","slots":3})");
  const auto New = parseRecord(
      "new.json",
      R"({"schemaVersion":2,"kind":"upstream","name":"u","service":"s","zone":"z","address":"10.0.0.1","port":9000,"slots":3})");
  BOOST_TEST_REQUIRE(Old.has_value());
  BOOST_TEST_REQUIRE(New.has_value());
  BOOST_TEST((Old.value().Body_ == New.value().Body_));
}

BOOST_AUTO_TEST_CASE(reportsAllFindingsWithTheirPaths) {
  const auto Parsed = parseRecords("bad.json", R"([
    {"schemaVersion":2,"kind":"customer","name":"a b","requestsPerSecond":-1,"burstRequests":10},
    {"schemaVersion":3,"kind":"zone","name":"z","region":"r"},
    {"schemaVersion":2,"kind":"planet","name":"p"},
    {"schemaVersion":2,"kind":"zone","name":"z","region":"r","colour":"red"},
    7])");
  BOOST_TEST_REQUIRE(Parsed.has_error());
  const std::string Text = base::toText(Parsed.error());
  for (const char *Path :
       {"$[0].name", "$[0].requestsPerSecond", "$[1].schemaVersion",
        "$[2].kind", "$[3].colour", "$[4]"})
    BOOST_TEST(Text.find(Path) != std::string::npos, Path << " in " << Text);
}

BOOST_AUTO_TEST_CASE(reportsMalformedJson) {
  const char *Inputs[] = {"",         "[",  "{\"a\":", "nul",  "[[[[",
                          "\xff\xfe", "{}", "\"x\"",   "[{}]", "12"};
  for (const char *Input : Inputs)
    BOOST_TEST(parseRecords("x", Input).has_error(), Input);
}

BOOST_AUTO_TEST_CASE(reportsExcessiveNesting) {
  BOOST_TEST(parseRecords("x", std::string(100'000, '[')).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
