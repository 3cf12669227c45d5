#include "platformstandin/platformcore.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::platformstandin;
using namespace std::chrono_literals;
using standin::Delivery;
using standin::HttpAnswer;
using standin::HttpCall;

namespace {

struct Platform {
  HttpAnswer get(const std::string &Target,
                 const std::string &Caller = "127.1.1.1") {
    return Core_.answer(HttpCall("GET", Target, Caller), "", Now_);
  }
  HttpAnswer post(const std::string &Target, const std::string &Body) {
    return Core_.answer(HttpCall("POST", Target, "127.1.1.1"), Body, Now_);
  }
  HttpAnswer transact(const std::string &Body) {
    return post("/v1/table/transact", Body);
  }
  HttpAnswer applyOrders(const std::string &Body) {
    return post("/standin/orders", Body);
  }

  PlatformSettings Settings_{.WritesPerSecond_ = 5,
                             .ReadsPerSecond_ = 10,
                             .ZoneLatencies_ = {500us, 20ms},
                             .Vms_ = {{"127.1.1.1", "lisbon-a", "live"}}};
  base::TimePoint Now_{1h};
  PlatformCore Core_{Settings_, base::RandomEngine(5)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platformcoretest, Platform)

BOOST_AUTO_TEST_CASE(appliesTransactionOnlyWhenAllConditionsHold) {
  BOOST_TEST(transact(R"({"conditions":[{"key":"a","version":0}],
                   "puts":[{"key":"a","value":"1"},{"key":"b","value":"2"}]})")
                 .Body_ == R"({"committed":true,"version":1})");
  BOOST_TEST(transact(R"({"conditions":[{"key":"a","version":1},
                                        {"key":"b","version":0}],
                          "puts":[{"key":"a","value":"9"}]})")
                 .Body_ ==
             R"({"committed":false,"failed":[{"key":"b","version":1}]})");
  BOOST_TEST(transact(R"({"conditions":[{"key":"a","version":1}],
                          "deletes":["b"]})")
                 .Body_ == R"({"committed":true,"version":2})");
  BOOST_TEST(get("/v1/table/row?key=a").Body_ ==
             R"({"key":"a","value":"1","version":1})");
  BOOST_TEST(get("/v1/table/row?key=b").Status_ == 404);
}

BOOST_AUTO_TEST_CASE(scansSortedPagesWithinPrefix) {
  transact(R"({"puts":[{"key":"x/2","value":""},{"key":"x/1","value":""},
                       {"key":"x/3","value":""},{"key":"y/1","value":""}]})");
  BOOST_TEST(get("/v1/table/rows?prefix=x%2F&limit=2").Body_ ==
             R"({"rows":[{"key":"x/1","value":"","version":1},)"
             R"({"key":"x/2","value":"","version":1}]})");
  BOOST_TEST(get("/v1/table/rows?prefix=x%2F&after=x%2F2").Body_ ==
             R"({"rows":[{"key":"x/3","value":"","version":1}]})");
}

BOOST_AUTO_TEST_CASE(appliesTransactionWhoseAnswerIsLost) {
  applyOrders(R"({"loseAnswerProbability":1})");
  const HttpAnswer Answer = transact(R"({"puts":[{"key":"a","value":"1"}]})");
  BOOST_TEST((Answer.Delivery_ == Delivery::Lost));
  applyOrders(R"({"loseAnswerProbability":0})");
  BOOST_TEST(get("/v1/table/row?key=a").Status_ == 200);
}

BOOST_AUTO_TEST_CASE(refillsRateLimitOverTime) {
  for (int Index = 0; Index < 5; ++Index)
    BOOST_TEST(transact("{}").Status_ == 200);
  BOOST_TEST(transact("{}").Status_ == 429);
  BOOST_TEST(get("/v1/vms").Status_ == 200);
  Now_ += 200ms;
  BOOST_TEST(transact("{}").Status_ == 200);
  BOOST_TEST(transact("{}").Status_ == 429);
}

BOOST_AUTO_TEST_CASE(ignoresRequestsWhileDownOrCutOff) {
  applyOrders(R"({"down":true})");
  BOOST_TEST(transact(R"({"puts":[{"key":"a","value":"1"}]})").Status_ == 503);
  applyOrders(R"({"down":false,"cutOffZones":[1]})");
  BOOST_TEST((get("/v1/vms").Delivery_ == Delivery::Lost));
  BOOST_TEST(get("/v1/table/row?key=a", "127.1.2.1").Status_ == 404);
}

BOOST_AUTO_TEST_CASE(delaysVmListChanges) {
  applyOrders(R"({"vmListLagMs":2000,
            "vms":[{"address":"127.1.1.1","zone":"lisbon-a","state":"leaving"}]})");
  Now_ += 1999ms;
  BOOST_TEST(get("/v1/vms").Body_.find("leaving") == std::string::npos);
  Now_ += 1ms;
  BOOST_TEST(get("/v1/vms").Body_.find("leaving") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(addsLatencyOfCallersZone) {
  applyOrders(R"({"latencyMs":4})");
  BOOST_TEST((Core_.oneWayLatency("127.1.2.1") == 22ms));
  BOOST_TEST((Core_.oneWayLatency("127.0.0.1") == 2ms));
}

BOOST_AUTO_TEST_CASE(rejectsOrdersWithUnknownMember) {
  BOOST_TEST(applyOrders(R"({"down":true,"dwon":true})").Status_ == 400);
  BOOST_TEST(get("/v1/vms").Status_ == 200);
  BOOST_TEST(transact("nonsense").Status_ == 400);
}

BOOST_AUTO_TEST_SUITE_END()
