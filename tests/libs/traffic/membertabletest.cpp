#include "libs/traffic/fixtures.h"
#include "traffic/entrydirectory.h"
#include "traffic/storereaders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

const base::RegionName East("east");

struct Fixture {
  MemberTable Members_{"vm0", 2500ms};
  EntryDirectory Directory_{8, base::RandomEngine(1)};
  MemberReport Own_ = report("vm0", "east-a");

  std::vector<std::string> resolve(const base::RegionName &Region,
                                   base::TimePoint Now) {
    std::vector<std::string> Result =
        Directory_.resolve(Region, Own_, Members_, Now);
    std::sort(Result.begin(), Result.end());
    return Result;
  }
};

using Texts = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(membertabletest, Fixture)

BOOST_AUTO_TEST_CASE(aSilentVmIsNoLongerNamed) {
  Members_.recordReport(report("vm1", "east-b"), at(0s));
  BOOST_TEST((resolve(East, at(1s)) == Texts{"vm0:80", "vm1:80"}));
  BOOST_TEST((resolve(East, at(3s)) == Texts{"vm0:80"}));
}

BOOST_AUTO_TEST_CASE(aLeavingVmIsNoLongerNamed) {
  MemberReport Other = report("vm1", "east-b");
  Members_.recordReport(Other, at(0s));
  Other.IsLeaving_ = true;
  Members_.recordReport(Other, at(1s));
  BOOST_TEST((resolve(East, at(1s)) == Texts{"vm0:80"}));
}

BOOST_AUTO_TEST_CASE(callersOfALostRegionAreSentToAnother) {
  BOOST_TEST((resolve(base::RegionName("west"), at(0s)) == Texts{"vm0:80"}));
}

// VMs that are cut from the store refuse keys; callers go elsewhere while
// another VM is fresh, and anywhere when none is.
BOOST_AUTO_TEST_CASE(vmsWithoutFreshKnowledgeAreNamedLast) {
  Own_.IsCurrent_ = false;
  Members_.recordReport(report("vm1", "west-a"), at(0s));
  BOOST_TEST((resolve(East, at(0s)) == Texts{"vm1:80"}));
  MemberReport Other = report("vm1", "west-a");
  Other.IsCurrent_ = false;
  Members_.recordReport(Other, at(1s));
  BOOST_TEST((resolve(East, at(1s)) == Texts{"vm0:80"}));
}

BOOST_AUTO_TEST_CASE(aReportOfAnEarlierStartIsPassedOver) {
  MemberReport Other = report("vm1");
  Other.Incarnation_ = 5;
  BOOST_TEST(Members_.recordReport(Other, at(0s)));
  Other.Incarnation_ = 4;
  Other.IsLeaving_ = true;
  BOOST_TEST(!Members_.recordReport(Other, at(0s)));
  BOOST_TEST(!Members_.find("vm1")->IsLeaving_);
}

BOOST_AUTO_TEST_CASE(requestsInFlightOfLiveVmsAddUp) {
  const NameTag Upstream = tagOf("u1");
  for (const char *Name : {"vm1", "vm2"}) {
    MemberReport Other = report(Name);
    Other.InFlight_[Upstream] = 2;
    Members_.recordReport(Other, at(0s));
  }
  BOOST_TEST(Members_.inFlightElsewhere(at(1s)).at(Upstream) == 4);
  BOOST_TEST(Members_.inFlightElsewhere(at(5s)).empty());
}

BOOST_AUTO_TEST_CASE(theFirstCurrentVmOfARegionReadsForIt) {
  const MemberReport Own = report("vm5", "east-a");
  BOOST_TEST(readsForRegion(Own, Members_, at(0s)));
  Members_.recordReport(report("vm1", "west-a"), at(0s));
  BOOST_TEST(readsForRegion(Own, Members_, at(0s)));
  MemberReport Cut = report("vm2", "east-b");
  Cut.IsCurrent_ = false;
  Members_.recordReport(Cut, at(0s));
  BOOST_TEST(readsForRegion(Own, Members_, at(0s)));
  Members_.recordReport(report("vm3", "east-b"), at(0s));
  BOOST_TEST(!readsForRegion(Own, Members_, at(0s)));
  // It falls silent.
  BOOST_TEST(readsForRegion(Own, Members_, at(3s)));
  Members_.recordReport(report("vm3", "east-b"), at(4s));
  MemberReport Leaving = report("vm3", "east-b");
  Leaving.IsLeaving_ = true;
  Members_.recordReport(Leaving, at(5s));
  BOOST_TEST(readsForRegion(Own, Members_, at(5s)));
  MemberReport OwnCut = Own;
  OwnCut.IsCurrent_ = false;
  BOOST_TEST(!readsForRegion(OwnCut, Members_, at(5s)));
}

BOOST_AUTO_TEST_SUITE_END()
