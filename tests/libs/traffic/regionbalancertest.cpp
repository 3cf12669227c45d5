#include "libs/traffic/fixtures.h"
#include "traffic/placementorder.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

const base::ServiceName Service("status");
const base::RegionName East("east");

/// East has a quarter of the slots that west has.
struct Fixture {
  UpstreamTable Table_ = table();
  PlacementOrder Order_{East, 2};

  Fixture() {
    Table_.put(upstream("e1", "east-a", 10), at(0s));
    Table_.put(upstream("w1", "west-a", 40), at(0s));
  }

  void use(int East, int West) {
    Table_.find(base::UpstreamName("e1"))->InFlight_ = East;
    Table_.find(base::UpstreamName("w1"))->InFlight_ = West;
  }

  void runFrom(base::TimePoint Start, base::Duration Span) {
    for (base::Duration Time{}; Time < Span; Time += 250ms)
      Order_.balance(Table_, Service, Start + Time);
  }

  /// Returns the number of 1,000 objects whose first upstream is in the east.
  int objectsInEast() {
    int Count = 0;
    for (std::uint64_t Object = 1; Object <= 1000; ++Object)
      if (Order_.order(Table_, Service, Object, {}, 1).front()->Region_ == East)
        ++Count;
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(regionbalancertest, Fixture)

// The east has slots for 40% of its objects if its load equals the west's. At
// its peak, its own slots are in use while the west's are free.
BOOST_AUTO_TEST_CASE(objectsMoveWhileOwnSlotsAreInUse) {
  const int Before = objectsInEast();
  use(10, 10);
  runFrom(at(0s), 6s);
  BOOST_TEST(objectsInEast() < Before * 3 / 4);
  use(2, 20);
  runFrom(at(6s), 20s);
  BOOST_TEST(objectsInEast() == Before);
}

BOOST_AUTO_TEST_CASE(objectsStayWhileAllRegionsAreBusy) {
  const int Before = objectsInEast();
  use(12, 40);
  runFrom(at(0s), 10s);
  BOOST_TEST(objectsInEast() == Before);
}

// At most a tenth of the objects may move within two seconds, also when the
// usage changes from one extreme to the other.
BOOST_AUTO_TEST_CASE(objectsMoveSlowly) {
  base::TimePoint Now = at(0s);
  for (int Step = 0; Step < 10; ++Step) {
    const int Before = objectsInEast();
    use(Step % 4 < 2 ? 20 : 0, 20);
    runFrom(Now, 2s);
    Now += 2s;
    BOOST_TEST(std::abs(objectsInEast() - Before) <= 100);
  }
}

BOOST_AUTO_TEST_CASE(usageCountsPreferredRegionOnly) {
  use(10, 0);
  for (std::uint64_t Object = 1; Object <= 100; ++Object) {
    const bool IsEast =
        Order_.order(Table_, Service, Object, {}, 1).front()->Region_ == East;
    const double Share =
        Order_.usage(Table_, Service, Object, {}, at(0s)).share();
    BOOST_TEST(Share == (IsEast ? 1.0 : 0.0));
  }
}

BOOST_AUTO_TEST_SUITE_END()
