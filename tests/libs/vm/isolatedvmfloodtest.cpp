#include "libs/vm/evacuationday.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace ebony;
using namespace ebony::vm;
using namespace ebony::vm::evacuationday;

BOOST_AUTO_TEST_SUITE(isolatedvmfloodtest)

// Incident FAILBACK on the small site: a zone that is cut off from the store
// and all other zones does not see that it was evacuated and taken back.
BOOST_AUTO_TEST_CASE(zoneThatIsCutOffDoesNotFloodColdUpstreams) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    VirtualFleet::Options Site = smallSite(Seed);
    Site.VmsPerZone_ = 4;
    checkEvacuation(Site, [](VirtualFleet &Fleet) {
      auto Vms = Fleet.vmsOf("sa");
      const auto Neighbours = Fleet.vmsOf("sb");
      Vms.insert(Vms.end(), Neighbours.begin(), Neighbours.end());
      Fleet.partition(Vms);
    });
  }
}

// The same for VMs that each lose the store and all other VMs.
BOOST_AUTO_TEST_CASE(vmsThatAreAloneDoNotFloodColdUpstreams) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const VirtualFleet::Options Site = smallSite(Seed);
    checkEvacuation(Site, [](VirtualFleet &Fleet) {
      for (std::size_t I = 0; I < Fleet.vmCount(); ++I)
        if (I % 6 != 5)
          Fleet.partition({I});
    });
  }
}

// The smaller part of the fleet has the store, and the operator with it.
BOOST_AUTO_TEST_CASE(largePartWithoutStoreDoesNotFloodColdUpstreams) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const VirtualFleet::Options Site = smallSite(Seed);
    checkEvacuation(Site, [](VirtualFleet &Fleet) {
      std::vector<std::size_t> Vms(Fleet.vmCount() - 1);
      std::iota(Vms.begin(), Vms.end(), std::size_t{0});
      Fleet.partition(Vms);
    });
  }
}

// An outage of the store for all VMs is no reason to hold requests back.
BOOST_AUTO_TEST_CASE(storeOutageDoesNotHoldRequestsBack) {
  VirtualFleet::Options Site = smallSite(1);
  Site.RequestsPerSecond_ = 250;
  VirtualFleet Fleet(Site);
  Fleet.at(Cut, [&] { Fleet.setStoreDown(true); });
  Fleet.play(12s);
  BOOST_TEST(Fleet.arrivals("", 8s, 12s) >=
             Fleet.arrivals("", 0s, 4s) * 19 / 20);
}

BOOST_AUTO_TEST_SUITE_END()
