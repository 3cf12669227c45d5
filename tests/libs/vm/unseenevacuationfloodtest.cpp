#include "libs/vm/evacuationday.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace ebony::vm::evacuationday;

BOOST_AUTO_TEST_SUITE(unseenevacuationfloodtest)

// Incident FAILBACK on the small site: VMs that the store turns away hear all
// the others, which know.
BOOST_AUTO_TEST_CASE(regionsWithoutStoreDoNotFloodColdUpstreams) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const VirtualFleet::Options Site = smallSite(Seed);
    checkEvacuation(Site, [](VirtualFleet &Fleet) {
      for (const char *Region : {"s", "o"})
        for (const std::size_t Number : Fleet.vmsOf(Region))
          Fleet.cutFromStore(Number);
    });
  }
}

// The upstreams of a zone go cold by their entries alone.
BOOST_AUTO_TEST_CASE(regionsWithoutStoreDoNotFloodUpstreamsThatGoCold) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const VirtualFleet::Options Site = smallSite(Seed);
    VirtualFleet Fleet(Site);
    Fleet.at(Cut, [&] {
      for (const char *Region : {"s", "o"})
        for (const std::size_t Number : Fleet.vmsOf(Region))
          Fleet.cutFromStore(Number);
    });
    Fleet.at(6s, [&] { Fleet.listEntries("sa", Site.ColdDuration_); });
    Fleet.play(10s);
    // Reports take up to their interval.
    BOOST_TEST_CONTEXT("seed " << Seed)
    BOOST_TEST(Fleet.mostPerSecond("sa", 6400ms, 9s) <= Site.limitPerSecond());
  }
}

BOOST_AUTO_TEST_SUITE_END()
