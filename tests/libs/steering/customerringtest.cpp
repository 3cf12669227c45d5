#include "steering/customerring.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace ebony::steering;
using namespace ebony::base;

namespace {

std::vector<RingMember> vms(unsigned Count) {
  std::vector<RingMember> Members;
  Members.reserve(Count);
  for (unsigned Index = 0; Index < Count; ++Index)
    Members.push_back({.Vm_ = VmAddress("10.1.0." + std::to_string(Index)),
                       .FreeCapacity_ = 100});
  return Members;
}

std::vector<CustomerLoad> customers(unsigned Count) {
  std::vector<CustomerLoad> Loads;
  Loads.reserve(Count);
  for (unsigned Index = 0; Index < Count; ++Index)
    Loads.push_back({.Customer_ = CustomerName("c" + std::to_string(Index)),
                     .Rate_ = 10.0 + Index % 7});
  return Loads;
}

VmAddress firstChoice(const CustomerRing &Ring, const CustomerName &Customer) {
  return Ring.preferredVms(Customer, 0, 1).at(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(customerringtest)

BOOST_AUTO_TEST_CASE(firstChoiceLoadStaysWithinAQuarterAboveShare) {
  const std::vector<CustomerLoad> Loads = customers(2000);
  const CustomerRing Ring(vms(34), Loads);
  std::map<VmAddress, double> Rates;
  double TotalRate = 0;
  for (const CustomerLoad &Load : Loads) {
    BOOST_TEST(Ring.firstChoiceCount(Load.Customer_) == 1U);
    Rates[firstChoice(Ring, Load.Customer_)] += Load.Rate_;
    TotalRate += Load.Rate_;
  }
  for (const auto &[Vm, Rate] : Rates)
    BOOST_TEST(Rate <= 1.25 * TotalRate / 34 + 1e-6);
}

BOOST_AUTO_TEST_CASE(losingVmMovesFewCustomersOfOtherVms) {
  const std::vector<CustomerLoad> Loads = customers(2000);
  std::vector<RingMember> Members = vms(34);
  const CustomerRing Before(Members, Loads);
  const VmAddress Lost = Members[5].Vm_;
  Members.erase(Members.begin() + 5);
  const CustomerRing After(Members, Loads);
  int Moved = 0;
  for (const CustomerLoad &Load : Loads) {
    const VmAddress Old = firstChoice(Before, Load.Customer_);
    BOOST_TEST((firstChoice(After, Load.Customer_) != Lost));
    if (Old != Lost && Old != firstChoice(After, Load.Customer_))
      ++Moved;
  }
  // A modulo hash moves about 97%; twice the lost VM's share is the target.
  BOOST_TEST(Moved <= 2000 * 2 / 34);
}

BOOST_AUTO_TEST_CASE(largeCustomerSpreadsOverSeveralVms) {
  std::vector<CustomerLoad> Loads = customers(20);
  const CustomerName Large("large");
  Loads.push_back({.Customer_ = Large, .Rate_ = 1000});
  const CustomerRing Ring(vms(10), Loads);
  BOOST_TEST(Ring.firstChoiceCount(Large) >= 5U);
  std::map<VmAddress, int> Callers;
  for (std::uint64_t Caller = 0; Caller < 1000; ++Caller)
    ++Callers[Ring.preferredVms(Large, Caller, 1).at(0)];
  BOOST_TEST(Callers.size() == Ring.firstChoiceCount(Large));
}

BOOST_AUTO_TEST_CASE(weightsByFreeCapacityRegardlessOfInputOrder) {
  std::vector<RingMember> Members = vms(4);
  Members[0].FreeCapacity_ = 25;
  std::vector<CustomerLoad> Loads = customers(2000);
  const CustomerRing Ring(Members, Loads);
  std::reverse(Members.begin(), Members.end());
  std::reverse(Loads.begin(), Loads.end());
  const CustomerRing Reversed(Members, Loads);
  double OnSmall = 0;
  double TotalRate = 0;
  for (const CustomerLoad &Load : Loads) {
    BOOST_TEST((firstChoice(Ring, Load.Customer_) ==
                firstChoice(Reversed, Load.Customer_)));
    TotalRate += Load.Rate_;
    if (firstChoice(Ring, Load.Customer_) == VmAddress("10.1.0.0"))
      OnSmall += Load.Rate_;
  }
  // A quarter of the capacity is two steps of 26 in all.
  BOOST_TEST(OnSmall <= 1.25 * TotalRate * 2 / 26 + 1e-6);
}

BOOST_AUTO_TEST_CASE(preferredVmsAreDistinctAndEmptyZoneHasNone) {
  const CustomerRing Ring(vms(5), customers(3));
  for (const char *Name : {"c1", "unknown"}) {
    std::vector<VmAddress> Vms = Ring.preferredVms(CustomerName(Name), 3, 9);
    BOOST_TEST(Vms.size() == 5U);
    std::sort(Vms.begin(), Vms.end());
    BOOST_TEST((std::unique(Vms.begin(), Vms.end()) == Vms.end()));
  }
  BOOST_TEST(CustomerRing({}, customers(3))
                 .preferredVms(CustomerName("c1"), 0, 3)
                 .empty());
}

BOOST_AUTO_TEST_SUITE_END()
