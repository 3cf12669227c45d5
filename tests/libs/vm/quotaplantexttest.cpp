#include "vm/quotaplantext.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

BOOST_AUTO_TEST_SUITE(quotaplantexttest)

BOOST_AUTO_TEST_CASE(sharesAreReadBackRoundedDown) {
  traffic::QuotaPlan Plan;
  Plan.Version_ = 7;
  Plan.Customers_[base::CustomerName("atlas")] = {{"vm1", {0.5, 0.25}},
                                                  {"vm2", {0.5, 0.0}}};
  Plan.Customers_[base::CustomerName("goliath")] = {{"vm1", {1.0, 1.0}}};
  const auto Read = decodeQuotaPlan(encodeQuotaPlan(Plan));
  BOOST_TEST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Version_ == 7);
  for (const auto &[Customer, Shares] : Plan.Customers_)
    for (const auto &[Vm, Share] : Shares) {
      const auto &Found = Read->Customers_.at(Customer).at(Vm);
      BOOST_TEST(Found.Share_ <= Share.Share_);
      BOOST_TEST(Found.Share_ > Share.Share_ - 1.0 / 4095);
      BOOST_TEST(Found.Safe_ <= Share.Safe_);
    }
  BOOST_TEST(
      Read->Customers_.at(base::CustomerName("goliath")).at("vm2").Share_ ==
      0.0);
}

// The grown deployments have 80 VMs, two spare ones a zone, and 82 customers;
// a row may hold 64 KiB.
BOOST_AUTO_TEST_CASE(thePlanOfAGrownFleetFitsIntoARow) {
  constexpr int Vms = 98;
  constexpr int Customers = 82;
  constexpr std::size_t RowBytes = 65536;
  traffic::QuotaPlan Plan;
  Plan.Version_ = 1;
  for (int C = 0; C < Customers; ++C)
    for (int V = 0; V < Vms; ++V)
      Plan.Customers_[base::CustomerName("customer" + std::to_string(C))]
                     ["edge-region-a-" + std::to_string(V)] = {0.01, 0.01};
  BOOST_TEST(encodeQuotaPlan(Plan).size() < RowBytes);
}

BOOST_AUTO_TEST_CASE(malformedPlansAreRefused) {
  for (const char *Text : {"", "x", "0\nvm1 \n", "3\nvm1 \natlas 80",
                           "3\nvm1 \natlas 8004zz\n", "3\nvm1 \natlas 400800\n",
                           "3\nvm1 \natlas\n", "3\nvm1 vm2 \natlas 800400\n"})
    BOOST_TEST(!decodeQuotaPlan(Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
