#include "platform/binding.h"
#include "platform/boundsdecoder.h"
#include "platform/configurationdecoder.h"
#include "platform/jsonaccess.h"
#include "platform/upstreamdecoder.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace ebony;
using namespace ebony::adapter;
using namespace std::chrono_literals;

namespace {

const char *Configuration = R"({"version":"0000000c",
 "limits":{"headerBytes":16384,"bodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"atlas","apiKeys":["k1","k2"],"priority":1,"ratePerS":156,"burst":150,"homeRegions":["east"]}],
 "listeners":[{"host":"h.example","routeRules":[
  {"name":"r-1","kind":"idempotent","latencyObjectiveMs":600,"priority":2,"public":false,"stickySessions":true,
   "match":{"prefix":"/a/"},"action":{"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "timeoutMs":1500,"maxAttempts":2,"homeRegions":[]}},
  {"name":"r-2","kind":"upload","latencyObjectiveMs":800,"priority":1,"public":true,"stickySessions":false,
   "match":{"prefix":"/a/b/"},"action":{"service":"s1","timeoutMs":2500,"maxAttempts":1,"homeRegions":["east"]}}]}],
 "clusters":[{"name":"s1","healthCheckPath":"/health","connectionLimit":390,"coldDurationS":3.0,"coldPerS":6.1}]})";

store::Row makeRow(const char *Value) { return {"i-1", Value, 5, false}; }

} // namespace

BOOST_AUTO_TEST_SUITE(decodertest)

BOOST_AUTO_TEST_CASE(decodesCompleteConfiguration) {
  const auto Decoded = decodeConfiguration(Configuration);
  BOOST_TEST_REQUIRE(Decoded.has_value());
  const traffic::TrafficRules &Rules = *Decoded.value();
  BOOST_TEST(Rules.version() == 12);
  BOOST_TEST(Rules.limits().BodyBytes_ == 1000U);
  const auto *Split = Rules.findRoute("h.example", "/a/x");
  BOOST_TEST_REQUIRE(Split);
  BOOST_TEST((Split->RetryPolicy_ == traffic::RetryPolicy::Idempotent));
  BOOST_TEST((Split->LatencyObjective_ == 600ms));
  BOOST_TEST((Split->Timeout_ == 1500ms));
  BOOST_TEST(Split->MaxAttempts_ == 2);
  BOOST_TEST(Split->Services_.size() == 2U);
  const auto *Upload = Rules.findRoute("h.example", "/a/b/c");
  BOOST_TEST_REQUIRE(Upload);
  BOOST_TEST(Upload->Name_ == "r-2");
  BOOST_TEST((Upload->RetryPolicy_ == traffic::RetryPolicy::AtMostOnce));
  BOOST_TEST(Upload->IsPublic_);
  BOOST_TEST(Upload->HomeRegions_.size() == 1U);
  BOOST_TEST(!Rules.findRoute("h.example", "/b"));
  BOOST_TEST(!Rules.findRoute("other", "/a/x"));
  BOOST_TEST(Rules.findCustomer("k2")->Name_.text() == "atlas");
  BOOST_TEST(!Rules.findCustomer("k3"));
  BOOST_TEST(Rules.findService(base::ServiceName("s1"))->ColdRatePerSecond_ ==
             6.1);
}

// Only requests of these two kinds may be repeated; an unknown kind is treated
// as one that may not.
BOOST_AUTO_TEST_CASE(decodesRetryPolicyOfEachKind) {
  const std::map<std::string, traffic::RetryPolicy> Expected = {
      {"idempotent", traffic::RetryPolicy::Idempotent},
      {"download", traffic::RetryPolicy::Idempotent},
      {"upload", traffic::RetryPolicy::AtMostOnce},
      {"non_idempotent", traffic::RetryPolicy::AtMostOnce},
      {"other", traffic::RetryPolicy::AtMostOnce}};
  for (const auto &[Kind, Policy] : Expected) {
    std::string Text = Configuration;
    Text.replace(Text.find("\"upload\""), 8, "\"" + Kind + "\"");
    const auto Decoded = decodeConfiguration(Text);
    BOOST_TEST_REQUIRE(Decoded.has_value());
    const auto *Route = Decoded.value()->findRoute("h.example", "/a/b/c");
    BOOST_TEST_REQUIRE(Route);
    BOOST_TEST((Route->RetryPolicy_ == Policy), Kind);
  }
}

BOOST_AUTO_TEST_CASE(rejectsMalformedConfigurations) {
  for (const char *Text :
       {"", "[]", "{", R"({"version":"x"})", R"({})",
        R"({"version":"1","listeners":[5]})",
        R"({"version":"1","listeners":[{"host":"h","routeRules":[{}]}]})"})
    BOOST_TEST(decodeConfiguration(Text).has_error());
}

BOOST_AUTO_TEST_CASE(decodesUpstreamEntry) {
  const auto Entry = decodeUpstream(makeRow(
      R"({"service":"s1","address":"10.0.0.9:8080","zone":"east-a","version":"v1","slots":9,"state":"draining","coldRemainingMs":1500,"sequence":4,"born":17})"));
  BOOST_TEST_REQUIRE(Entry.has_value());
  BOOST_TEST(Entry->Name_.text() == "i-1");
  BOOST_TEST(Entry->Port_ == 8080);
  BOOST_TEST(Entry->Slots_ == 9);
  BOOST_TEST(Entry->IsDraining_);
  BOOST_TEST((Entry->ColdRemaining_ == 1500ms));
  BOOST_TEST(Entry->StartedUnixMs_ == 17);
}

BOOST_AUTO_TEST_CASE(rejectsMalformedUpstreamEntries) {
  for (
      const char *Text :
      {"", "\xff\xfe", "5", "{}",
       R"({"service":5,"address":"10.0.0.9:1","zone":"a","slots":9,"state":"ready"})",
       R"({"service":"s","address":"10.0.0.9","zone":"a","slots":9,"state":"ready"})",
       R"({"service":"s","address":"10.0.0.9:1","zone":"a","slots":"9","state":"ready"})",
       R"({"service":"s","address":"10.0.0.9:1","zone":"a","slots":9,"state":"odd"})",
       R"({"service":"s","address":"10.0.0.9:99999","zone":"a","slots":9,"state":"ready"})"})
    BOOST_TEST(!decodeUpstream(makeRow(Text)).has_value());
}

BOOST_AUTO_TEST_CASE(decodesFleetBounds) {
  const vm::FleetBounds Bounds = decodeBounds(
      {"revokeMs=4000", "graceS=6.5", "odd", "coldSlack=x", "new=1"});
  BOOST_TEST((Bounds.KeyWithdrawal_ == 4s));
  BOOST_TEST((Bounds.StopGrace_ == 6500ms));
  BOOST_TEST(Bounds.ColdSlack_ == 0.0);
}

BOOST_AUTO_TEST_CASE(base64RoundTrips) {
  BOOST_TEST(toBase64("node-1") == "bm9kZS0x");
  BOOST_TEST(fromBase64("bm9kZS0x") == "node-1");
  BOOST_TEST(fromBase64(toBase64(std::string(500, 'x'))) ==
             std::string(500, 'x'));
}

BOOST_AUTO_TEST_CASE(encodesDirectoryAnswer) {
  boost::asio::io_context Context;
  const vm::PlatformBinding Binding = makeBinding(Context, {});
  BOOST_TEST(Binding.EncodeDirectory_({"10.0.0.1:1", "10.0.0.2:1"}, 2) ==
             R"({"addresses":["10.0.0.1:1","10.0.0.2:1"],"ttlS":2})");
}

BOOST_AUTO_TEST_SUITE_END()
