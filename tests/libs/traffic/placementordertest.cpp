#include "traffic/placementorder.h"
#include "base/hashing.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

const base::ServiceName Status("status");

UpstreamTable unequalRegions() {
  UpstreamTable Table = table();
  for (int I = 0; I < 4; ++I)
    Table.put(upstream("e" + std::to_string(I), "east-a"), at(0s));
  Table.put(upstream("w0", "west-a"), at(0s));
  Table.put(upstream("n0", "north-a"), at(0s));
  return Table;
}

std::vector<UpstreamPtr>
orderFor(const char *Region, const UpstreamTable &Table, std::uint64_t Object,
         const std::vector<base::RegionName> &Homes = {}) {
  const PlacementOrder Order(base::RegionName(Region), 3);
  return Order.order(Table, Status, Object, Homes, 4);
}

} // namespace

BOOST_AUTO_TEST_SUITE(placementordertest)

BOOST_AUTO_TEST_CASE(sameRegionVmsChooseSameUpstream) {
  const UpstreamTable First = unequalRegions();
  const UpstreamTable Second = unequalRegions();
  for (std::uint64_t Object = 0; Object < 200; ++Object)
    BOOST_TEST(orderFor("east", First, Object).front()->Entry_.Name_.text() ==
               orderFor("east", Second, Object).front()->Entry_.Name_.text());
}

BOOST_AUTO_TEST_CASE(smallRegionSendsSurplusToRegionWithSpareSlots) {
  const UpstreamTable Table = unequalRegions();
  int Kept = 0;
  int East = 0;
  for (std::uint64_t Object = 0; Object < 2000; ++Object) {
    const auto First =
        orderFor("west", Table, base::mixBits(Object)).front()->Region_.text();
    Kept += First == "west" ? 1 : 0;
    East += First == "east" ? 1 : 0;
  }
  // The west has 4 of 24 slots; an even share is 8, so half of its objects
  // stay.
  BOOST_TEST(Kept > 900);
  BOOST_TEST(Kept < 1100);
  BOOST_TEST(Kept + East == 2000);
}

BOOST_AUTO_TEST_CASE(largeRegionServesItsOwnObjects) {
  const UpstreamTable Table = unequalRegions();
  for (std::uint64_t Object = 0; Object < 200; ++Object)
    BOOST_TEST(orderFor("east", Table, Object).front()->Region_.text() ==
               "east");
}

BOOST_AUTO_TEST_CASE(removedUpstreamMovesOnlyItsObjects) {
  UpstreamTable Table = unequalRegions();
  std::map<std::uint64_t, std::string> Before;
  for (std::uint64_t Object = 0; Object < 500; ++Object)
    Before[Object] =
        orderFor("east", Table, Object).front()->Entry_.Name_.text();
  Table.remove(base::UpstreamName("e1"), at(1s));
  for (const auto &[Object, Name] : Before)
    if (Name != "e1")
      BOOST_TEST(orderFor("east", Table, Object).front()->Entry_.Name_.text() ==
                 Name);
}

BOOST_AUTO_TEST_CASE(homeRegionsRestrictCandidates) {
  const UpstreamTable Table = unequalRegions();
  const std::vector<base::RegionName> Homes{base::RegionName("north")};
  for (std::uint64_t Object = 0; Object < 100; ++Object)
    for (const UpstreamPtr &Upstream : orderFor("east", Table, Object, Homes))
      BOOST_TEST(Upstream->Region_.text() == "north");
}

BOOST_AUTO_TEST_SUITE_END()
