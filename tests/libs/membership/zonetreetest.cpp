#include "membership/zonetree.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony::membership;
using ebony::base::VmAddress;
using ebony::base::VmIdentity;
using ebony::base::ZoneName;

namespace {

std::vector<VmIdentity> vmsOfZone(int Count) {
  std::vector<VmIdentity> Vms;
  Vms.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Vms.emplace_back(VmAddress("10.1.0." + std::to_string(Index)), 7,
                     ZoneName("a"));
  return Vms;
}

} // namespace

BOOST_AUTO_TEST_SUITE(zonetreetest)

BOOST_AUTO_TEST_CASE(relaysDoNotDependOnOrderOfVms) {
  std::vector<VmIdentity> Vms = vmsOfZone(34);
  const ZoneTree Tree(Vms, {}, 3);
  std::reverse(Vms.begin(), Vms.end());
  BOOST_TEST((Tree.relays() == ZoneTree(Vms, {}, 3).relays()));
  BOOST_TEST(Tree.relays().size() == 3U);
}

BOOST_AUTO_TEST_CASE(replacesDeadRelayAndKeepsOthers) {
  std::vector<VmIdentity> Vms = vmsOfZone(34);
  const ZoneTree Before(Vms, {}, 3);
  const VmAddress Lost = Before.relays()[1];
  std::erase_if(Vms,
                [&](const VmIdentity &Vm) { return Vm.address() == Lost; });
  const ZoneTree After(Vms, {}, 3);
  BOOST_TEST(!After.isRelay(Lost));
  BOOST_TEST(After.isRelay(Before.relays()[0]));
  BOOST_TEST(After.isRelay(Before.relays()[2]));
  for (const VmIdentity &Vm : Vms)
    BOOST_TEST((After.isRelay(After.relayOf(Vm.address(), {}))));
}

BOOST_AUTO_TEST_CASE(spreadsMembersOverRelaysAndSkipsAvoidedRelays) {
  const std::vector<VmIdentity> Vms = vmsOfZone(34);
  const ZoneTree Tree(Vms, {}, 3);
  for (const VmAddress &Relay : Tree.relays()) {
    BOOST_TEST(std::count_if(Vms.begin(), Vms.end(), [&](const auto &Vm) {
                 return Tree.relayOf(Vm.address(), {}) == Relay;
               }) >= 3);
    for (const VmIdentity &Vm : Vms)
      BOOST_TEST((Tree.relayOf(Vm.address(), {Relay}) != Relay));
  }
}

BOOST_AUTO_TEST_CASE(usesLeavingVmsAsRelaysOnlyWhenOthersAreTooFew) {
  const std::vector<VmIdentity> Vms = vmsOfZone(4);
  const std::vector<VmIdentity> Staying(Vms.begin(), Vms.begin() + 3);
  const std::vector<VmIdentity> Leaving(Vms.begin() + 3, Vms.end());
  const VmAddress Last = Leaving[0].address();
  BOOST_TEST(!ZoneTree(Staying, Leaving, 3).isRelay(Last));
  BOOST_TEST(ZoneTree(Staying, Leaving, 4).isRelay(Last));
  BOOST_TEST((ZoneTree({Leaving[0]}, {}, 3).relayOf(Last, {}).isEmpty()));
}

BOOST_AUTO_TEST_SUITE_END()
