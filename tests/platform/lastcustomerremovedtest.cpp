#include "libs/vm/requestpathfixture.h"
#include "platform/configurationdecoder.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::adapter;

namespace {

/// Returns a configuration with one route and \p Members at its top level.
std::string configurationWith(const std::string &Members) {
  return R"({"version":"0000000c",)" + Members + R"(
 "listeners":[{"host":"h","routeRules":[
  {"name":"read","kind":"idempotent","latencyObjectiveMs":600,
   "match":{"prefix":"/read/"},
   "action":{"service":"s","timeoutMs":5000,"maxAttempts":2}},
  {"name":"open","kind":"idempotent","latencyObjectiveMs":600,"public":true,
   "match":{"prefix":"/open/"},
   "action":{"service":"s","timeoutMs":5000,"maxAttempts":2}}]}],
 "clusters":[{"name":"s"}]})";
}

/// A VM whose configuration is read by the platform's decoder.
struct Vm : vm::RequestPathFixture {
  explicit Vm(const std::string &Members)
      : RequestPathFixture([](vm::PlatformBinding &Binding) {
          Binding.DecodeConfiguration_ = decodeConfiguration;
        }) {
    Rows_["operators"][0].Value_ = configurationWith(Members);
    State_->KeyTrust_.confirm(Clock_.now());
    State_->PlanTrust_.confirm(Clock_.now());
  }

  /// Returns the status of a request with the key "secret".
  unsigned statusOf(const std::string &Target) {
    return sendRequests({Target}).at(0).result_int();
  }
};

constexpr const char *CustomerWithKeys = R"("tenants":[{"name":"c","apiKeys":)";

} // namespace

BOOST_AUTO_TEST_SUITE(lastcustomerremovedtest)

// review/3: once a configuration had no customer left, every key was accepted.
BOOST_AUTO_TEST_CASE(noKeyIsAcceptedWithoutCustomers) {
  for (const std::string &Members :
       {std::string(R"("tenants":[],)"), std::string(R"("tenants":null,)"),
        CustomerWithKeys + std::string("[]}],"),
        CustomerWithKeys + std::string(R"([""]}],)"),
        CustomerWithKeys + std::string(R"(["other"]}],)")}) {
    Vm Closed(Members);
    BOOST_TEST(Closed.statusOf("/read/a") == 401U, Members);
    BOOST_TEST(Closed.receivedRequests() == 0U, Members);
  }
}

BOOST_AUTO_TEST_CASE(keysAreNeededOnlyIfTheConfigurationNamesCustomers) {
  BOOST_TEST(Vm("").statusOf("/read/a") == 200U);
  BOOST_TEST(Vm(CustomerWithKeys + std::string(R"(["secret"]}],)"))
                 .statusOf("/read/a") == 200U);
  BOOST_TEST(Vm(R"("tenants":[],)").statusOf("/open/a") == 200U);
}

BOOST_AUTO_TEST_CASE(emptyKeyBelongsToNoCustomer) {
  const auto Decoded = decodeConfiguration(
      configurationWith(CustomerWithKeys + std::string(R"(["","k"]}],)")));
  BOOST_TEST_REQUIRE(Decoded.has_value());
  BOOST_TEST(!Decoded.value()->findCustomer(""));
  BOOST_TEST(Decoded.value()->findCustomer("k"));
}

// Read as an empty list, such a value would lift what the list restricts.
BOOST_AUTO_TEST_CASE(listOfAnotherTypeIsMalformed) {
  for (const char *Value : {"{}", "\"x\"", "5", "true"}) {
    const std::string Text(Value);
    BOOST_TEST(
        decodeConfiguration(configurationWith("\"tenants\":" + Text + ","))
            .has_error(),
        Text);
    BOOST_TEST(
        decodeConfiguration(configurationWith(CustomerWithKeys + Text + "}],"))
            .has_error(),
        Text);
    std::string Homes = configurationWith("");
    Homes.insert(Homes.find("\"timeoutMs\""), "\"homeRegions\":" + Text + ",");
    BOOST_TEST(decodeConfiguration(Homes).has_error(), Text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
