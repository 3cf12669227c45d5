#include "load/fleetfiles.h"
#include "load/fleet.h"
#include "platformstandin/platformsettings.h"
#include "upstreamstandin/upstreamsettings.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace ebony;
using namespace ebony::load;

namespace {

std::string textOf(const std::vector<FleetFile> &Files,
                   const std::string &Name) {
  const auto Found = std::ranges::find(Files, Name, &FleetFile::Name_);
  BOOST_TEST_REQUIRE((Found != Files.end()), Name);
  return Found->Text_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleetfilestest)

BOOST_AUTO_TEST_CASE(bothDeploymentsHaveRequiredSizes) {
  for (const char *Name : {"confirmacor", "loan-office"}) {
    const FleetPlan Plan(findDeployment(Name).value());
    BOOST_TEST(Plan.vms().size() == 12U);
    BOOST_TEST(Plan.targets().size() == 52U);
    BOOST_TEST(Plan.deployment().Customers_.size() == 8U);
    std::map<std::string, int> ByZone;
    std::map<std::string, int> ByAddress;
    for (const PlannedTarget &Target : Plan.targets()) {
      ++ByZone[Target.Zone_];
      ++ByAddress[Target.Endpoint_.Address_];
    }
    BOOST_TEST(ByZone.size() == 6U);
    BOOST_TEST(ByAddress.size() == 52U);
    for (const auto &[Zone, Count] : ByZone)
      BOOST_TEST((Count == 8 || Count == 9), Zone);
  }
  BOOST_TEST(findDeployment("other").has_error());
}

BOOST_AUTO_TEST_CASE(standInsAndLoadToolParseGeneratedFiles) {
  const FleetPlan Plan(findDeployment("confirmacor").value());
  const auto Files = fleetFiles(Plan, "token");
  const auto Platform =
      platformstandin::parseSettings(textOf(Files, "platform.json"), "p");
  BOOST_TEST_REQUIRE(Platform.has_value());
  BOOST_TEST(Platform.value().Vms_.size() == 12U);
  BOOST_TEST(Platform.value().ZoneLatencies_.size() == 6U);
  const auto Upstreams = upstreamstandin::parseSettings(
      textOf(Files, "upstreams-dublin-b.json"), "u");
  BOOST_TEST_REQUIRE(Upstreams.has_value());
  BOOST_TEST(Upstreams.value().Targets_.size() == 8U);
  const auto TextWithKey = withCustomerKey(textOf(Files, "fleet.json"),
                                           "fleet.json", "hydra", "secret");
  const auto ParsedFleet = parseFleet(TextWithKey.value(), "fleet.json");
  BOOST_TEST_REQUIRE(ParsedFleet.has_value());
  BOOST_TEST(ParsedFleet.value().Zones_[3].Steerds_.size() == 2U);
  BOOST_TEST(ParsedFleet.value().Customers_[7].Key_ == "secret");
  BOOST_TEST(
      withCustomerKey("{}", "fleet.json", "hydra", "secret").has_error());
}

BOOST_AUTO_TEST_CASE(latencyGrowsWithZoneAndRegionDistance) {
  const FleetPlan Plan(findDeployment("loan-office").value());
  const Fleet ParsedFleet =
      parseFleet(textOf(fleetFiles(Plan, "t"), "fleet.json"), "f").value();
  using namespace std::chrono_literals;
  BOOST_TEST((ParsedFleet.oneWayLatency(0, "porto-a") == 8ms));
  BOOST_TEST((ParsedFleet.oneWayLatency(0, "porto-b") == 9ms));
  BOOST_TEST((ParsedFleet.oneWayLatency(0, "oeste-a") == 43ms));
}

BOOST_AUTO_TEST_SUITE_END()
