#include "vm/quotaplancodec.h"
#include "traffic/quotaplanner.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

BOOST_AUTO_TEST_SUITE(quotaplancodectest)

BOOST_AUTO_TEST_CASE(decodesSharesRoundedDown) {
  traffic::QuotaPlan Plan;
  Plan.Version_ = 7;
  Plan.Customers_[base::CustomerName("atlas")] = {{"vm1", {0.5, 0.25}},
                                                  {"vm2", {0.5, 0.0}}};
  Plan.Customers_[base::CustomerName("goliath")] = {{"vm1", {1.0, 1.0}}};
  Plan.Vms_ = {"vm1", "vm2", "former"};
  const auto Decoded = decodeQuotaPlan(encodeQuotaPlan(Plan));
  BOOST_TEST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Version_ == 7);
  BOOST_TEST(Decoded->Vms_ == Plan.Vms_, boost::test_tools::per_element());
  for (const auto &[Customer, Shares] : Plan.Customers_)
    for (const auto &[Vm, Share] : Shares) {
      const auto &Found = Decoded->Customers_.at(Customer).at(Vm);
      BOOST_TEST(Found.Share_ <= Share.Share_);
      BOOST_TEST(Found.Share_ > Share.Share_ - 1.0 / 4095);
      BOOST_TEST(Found.TransitionShare_ <= Share.TransitionShare_);
    }
  // A VM without a share is not listed: asking it for tokens would be useless.
  BOOST_TEST(
      !Decoded->Customers_.at(base::CustomerName("goliath")).contains("vm2"));
}

// The planner has to accept a decoded plan as its own, otherwise it writes the
// same plan repeatedly and no share ever settles.
BOOST_AUTO_TEST_CASE(plannerKeepsDecodedPlan) {
  const auto Report = [](const std::string &Name, const std::string &Region) {
    traffic::MemberReport Result;
    Result.Name_ = Name;
    Result.CallerAddress_ = Name + ":80";
    Result.Region_ = base::RegionName(Region);
    return Result;
  };
  traffic::TrafficRules Rules(1, traffic::CallerLimits());
  for (int I = 0; I < 20; ++I) {
    traffic::CustomerSettings Terms;
    Terms.Name_ = base::CustomerName("customer" + std::to_string(I));
    Terms.RatePerSecond_ = 10;
    Rules.addCustomer(Terms, {"key" + std::to_string(I)});
  }
  const base::TimePoint Now{std::chrono::hours(1)};
  traffic::MemberTable Members("vm0", std::chrono::seconds(2));
  for (int I = 1; I < 12; ++I)
    Members.recordReport(
        Report("vm" + std::to_string(I), I < 6 ? "east" : "west"), Now);
  traffic::QuotaPlanner Planner(std::chrono::seconds(5));
  const auto First = Planner.planNext(traffic::QuotaPlan(), Rules,
                                      Report("vm0", "east"), Members, Now);
  BOOST_TEST_REQUIRE(First.has_value());
  const auto Decoded = decodeQuotaPlan(encodeQuotaPlan(*First));
  BOOST_TEST_REQUIRE(Decoded.has_value());
  BOOST_TEST(
      !Planner.planNext(*Decoded, Rules, Report("vm0", "east"), Members, Now));
}

// The largest deployments have 80 VMs, two spare ones per zone, and 82
// customers; a row may hold 64 KiB.
BOOST_AUTO_TEST_CASE(planOfLargeFleetFitsIntoRow) {
  constexpr int Vms = 98;
  constexpr int Customers = 82;
  constexpr std::size_t RowBytes = 65536;
  traffic::QuotaPlan Plan;
  Plan.Version_ = 1;
  for (int C = 0; C < Customers; ++C)
    for (int V = 0; V < Vms; ++V)
      Plan.Customers_[base::CustomerName("customer" + std::to_string(C))]
                     ["edge-region-a-" + std::to_string(V)] = {0.01, 0.01};
  Plan.Vms_ = Plan.holders();
  BOOST_TEST(encodeQuotaPlan(Plan).size() < RowBytes);
}

BOOST_AUTO_TEST_CASE(rejectsMalformedPlans) {
  for (const char *Text : {"", "x", "0\nvm1 \n", "3\nvm1 \natlas 80",
                           "3\nvm1 \natlas 8004zz\n", "3\nvm1 \natlas 400800\n",
                           "3\nvm1 \natlas\n", "3\nvm1 vm2 \natlas 800400\n"})
    BOOST_TEST(!decodeQuotaPlan(Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
