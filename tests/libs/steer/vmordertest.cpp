#include "steer/vmorder.h"
#include "steer/ringcache.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using base::VmAddress;
using base::ZoneName;

namespace {

const ZoneName OwnZone("a");

fleet::FleetMember member(const std::string &Address, const ZoneName &Zone) {
  return {.Vm_ = base::VmIdentity(VmAddress(Address), 1, Zone), .Region_ = {}};
}

std::vector<fleet::FleetMember> members() {
  return {member("10.1.0.1", OwnZone), member("10.1.0.2", OwnZone),
          member("10.1.0.3", OwnZone), member("10.2.0.1", ZoneName("b"))};
}

std::vector<fleet::FleetMember> order(steer::RingCache &Rings,
                                      const fleet::MemberList &Members) {
  const records::Configuration Empty;
  return steer::orderVms(Members, Empty, OwnZone,
                         *Rings.ringFor(Members, Empty), "c", 0, 4);
}

} // namespace

BOOST_AUTO_TEST_SUITE(vmordertest)

BOOST_AUTO_TEST_CASE(ordersOwnZoneFirstInStableOrder) {
  steer::RingCache Rings(OwnZone);
  const fleet::MemberList Members(1, members());
  const auto Vms = order(Rings, Members);
  BOOST_REQUIRE(Vms.size() == 4U);
  BOOST_TEST((Vms.back().Vm_.zone() == ZoneName("b")));
  steer::RingCache OtherCache(OwnZone);
  BOOST_TEST((order(OtherCache, Members) == Vms));
}

BOOST_AUTO_TEST_CASE(rebuildsRingWithoutLeavingAndDeadVms) {
  steer::RingCache Rings(OwnZone);
  std::vector<fleet::FleetMember> All = members();
  const VmAddress First =
      order(Rings, fleet::MemberList(1, All)).front().Vm_.address();
  for (fleet::FleetMember &Member : All)
    if (Member.Vm_.address() == First)
      Member.IsLeaving_ = true;
  const auto Remaining = order(Rings, fleet::MemberList(2, All));
  BOOST_TEST(Remaining.size() == 3U);
  for (const fleet::FleetMember &Member : Remaining)
    BOOST_TEST((Member.Vm_.address() != First));
  All[0].IsLive_ = All[1].IsLive_ = All[2].IsLive_ = false;
  const auto OtherZoneVms = order(Rings, fleet::MemberList(3, All));
  BOOST_REQUIRE(OtherZoneVms.size() == 1U);
  BOOST_TEST((OtherZoneVms[0].Vm_.zone() == ZoneName("b")));
}

BOOST_AUTO_TEST_SUITE_END()
