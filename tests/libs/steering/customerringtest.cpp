#include "steering/customerring.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace ebony::steering;
using namespace ebony::base;

namespace {

std::vector<RingMember> vms(unsigned Count) {
  std::vector<RingMember> All;
  All.reserve(Count);
  for (unsigned Index = 0; Index < Count; ++Index)
    All.push_back({.Vm_ = VmAddress("10.1.0." + std::to_string(Index)),
                   .FreeCapacity_ = 100});
  return All;
}

std::vector<CustomerLoad> customers(unsigned Count) {
  std::vector<CustomerLoad> All;
  All.reserve(Count);
  for (unsigned Index = 0; Index < Count; ++Index)
    All.push_back({.Customer_ = CustomerName("c" + std::to_string(Index)),
                   .Rate_ = 10.0 + Index % 7});
  return All;
}

VmAddress first(const CustomerRing &Ring, const CustomerName &Customer) {
  return Ring.preferredVms(Customer, 0, 1).at(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(customerringtest)

BOOST_AUTO_TEST_CASE(noVmIsFirstForMoreThanAQuarterAboveItsShare) {
  const std::vector<CustomerLoad> Loads = customers(2000);
  const CustomerRing Ring(vms(34), Loads);
  std::map<VmAddress, double> Rates;
  double All = 0;
  for (const CustomerLoad &One : Loads) {
    BOOST_TEST(Ring.firstChoices(One.Customer_) == 1U);
    Rates[first(Ring, One.Customer_)] += One.Rate_;
    All += One.Rate_;
  }
  for (const auto &[Vm, Rate] : Rates)
    BOOST_TEST(Rate <= 1.25 * All / 34 + 1e-6);
}

BOOST_AUTO_TEST_CASE(lostVmMovesFewCustomersOfOthers) {
  const std::vector<CustomerLoad> Loads = customers(2000);
  std::vector<RingMember> Members = vms(34);
  const CustomerRing Before(Members, Loads);
  const VmAddress Lost = Members[5].Vm_;
  Members.erase(Members.begin() + 5);
  const CustomerRing After(Members, Loads);
  int Moved = 0;
  for (const CustomerLoad &One : Loads) {
    const VmAddress Old = first(Before, One.Customer_);
    BOOST_TEST((first(After, One.Customer_) != Lost));
    if (Old != Lost && Old != first(After, One.Customer_))
      ++Moved;
  }
  // A modulo hash moves about 97%; twice the lost VM's share is the target.
  BOOST_TEST(Moved <= 2000 * 2 / 34);
}

BOOST_AUTO_TEST_CASE(largeCustomerGetsSeveralVmsAndItsCallersSpread) {
  std::vector<CustomerLoad> Loads = customers(20);
  const CustomerName Large("large");
  Loads.push_back({.Customer_ = Large, .Rate_ = 1000});
  const CustomerRing Ring(vms(10), Loads);
  BOOST_TEST(Ring.firstChoices(Large) >= 5U);
  std::map<VmAddress, int> Callers;
  for (std::uint64_t Caller = 0; Caller < 1000; ++Caller)
    ++Callers[Ring.preferredVms(Large, Caller, 1).at(0)];
  BOOST_TEST(Callers.size() == Ring.firstChoices(Large));
}

BOOST_AUTO_TEST_CASE(freeCapacityWeighsAndOrderOfInputDoesNot) {
  std::vector<RingMember> Members = vms(4);
  Members[0].FreeCapacity_ = 25;
  std::vector<CustomerLoad> Loads = customers(2000);
  const CustomerRing Ring(Members, Loads);
  std::reverse(Members.begin(), Members.end());
  std::reverse(Loads.begin(), Loads.end());
  const CustomerRing Reversed(Members, Loads);
  double OnSmall = 0;
  double All = 0;
  for (const CustomerLoad &One : Loads) {
    BOOST_TEST((first(Ring, One.Customer_) == first(Reversed, One.Customer_)));
    All += One.Rate_;
    if (first(Ring, One.Customer_) == VmAddress("10.1.0.0"))
      OnSmall += One.Rate_;
  }
  // A quarter of the capacity is two steps of 26 in all.
  BOOST_TEST(OnSmall <= 1.25 * All * 2 / 26 + 1e-6);
}

BOOST_AUTO_TEST_CASE(preferencesAreDistinctAndEmptyZoneHasNone) {
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
