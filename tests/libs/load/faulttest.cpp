#include "base/steadyclock.h"
#include "load/faultinjector.h"
#include "platformstandin/platformservice.h"
#include "standin/httplistener.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::load;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Fixture() {
    Fleet_.Platform_ = {"127.0.0.1", Listener_.port()};
    Fleet_.Zones_ = {{"lisbon-a", "lisbon", {"127.0.0.2", 1}, {}},
                     {"lisbon-b", "lisbon", {"127.0.0.3", 1}, {}},
                     {"madrid-a", "madrid", {"127.0.0.4", 1}, {}}};
  }

  int vmListStatus() {
    return Core_
        .answer(standin::HttpCall("GET", "/v1/vms", "127.1.1.1"), "",
                Clock_.now())
        .Status_;
  }

  base::SteadyClock Clock_;
  platformstandin::PlatformCore Core_{platformstandin::PlatformSettings{},
                                      base::RandomEngine(1)};
  platformstandin::PlatformService Service_{Core_, Clock_};
  standin::HttpListener Listener_{Service_, "127.0.0.1", 0,
                                  base::Duration::zero()};
  Fleet Fleet_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(faulttest, Fixture)

BOOST_AUTO_TEST_CASE(sortsFaultsAndResolvesRecipients) {
  const auto Faults = parseFaults(R"({"faults":[
        {"atSeconds":9,"to":"lisbon","orders":{"target":"*","down":true}},
        {"atSeconds":2,"to":"platform","orders":{"down":true}}]})",
                                  "f", Fleet_)
                          .value();
  BOOST_TEST_REQUIRE(Faults.size() == 2U);
  BOOST_TEST((Faults[0].When_ == 2s));
  BOOST_TEST(Faults[0].Orders_ == R"({"down":true})");
  BOOST_TEST(Faults[1].Endpoints_.size() == 2U);
  const auto Bad = parseFaults(
      R"({"faults":[{"atSeconds":-1,"to":"porto","orders":{}}]})", "f", Fleet_);
  BOOST_TEST_REQUIRE(Bad.has_error());
  BOOST_TEST(Bad.error().size() == 2U);
}

BOOST_AUTO_TEST_CASE(injectorSendsDueOrdersAndDropsLaterOnes) {
  BOOST_TEST(vmListStatus() == 200);
  FaultInjector Injector({{0s, {Fleet_.Platform_}, R"({"down":true})"},
                          {0s, {Fleet_.Platform_}, R"({"dwon":true})"},
                          {1h, {Fleet_.Platform_}, R"({"down":false})"}},
                         Clock_);
  while (vmListStatus() == 200)
    std::this_thread::sleep_for(1ms);
  // The injector sends the second, invalid order after the first; finish() may
  // stop it before, so there is at most one finding.
  BOOST_TEST(Injector.finish().size() <= 1U);
  BOOST_TEST(vmListStatus() == 503);
}

BOOST_AUTO_TEST_SUITE_END()
