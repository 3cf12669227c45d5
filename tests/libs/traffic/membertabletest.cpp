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
  MemberReport OwnReport_ = report("vm0", "east-a");

  std::vector<std::string> resolve(const base::RegionName &Region,
                                   base::TimePoint Now) {
    std::vector<std::string> Result =
        Directory_.resolve(Region, OwnReport_, Members_, Now);
    std::sort(Result.begin(), Result.end());
    return Result;
  }
};

using Addresses = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(membertabletest, Fixture)

BOOST_AUTO_TEST_CASE(silentVmIsRemovedFromDirectory) {
  Members_.recordReport(report("vm1", "east-b"), at(0s));
  BOOST_TEST((resolve(East, at(1s)) == Addresses{"vm0:80", "vm1:80"}));
  BOOST_TEST((resolve(East, at(3s)) == Addresses{"vm0:80"}));
}

BOOST_AUTO_TEST_CASE(leavingVmIsRemovedFromDirectory) {
  MemberReport Other = report("vm1", "east-b");
  Members_.recordReport(Other, at(0s));
  Other.IsLeaving_ = true;
  Members_.recordReport(Other, at(1s));
  BOOST_TEST((resolve(East, at(1s)) == Addresses{"vm0:80"}));
}

BOOST_AUTO_TEST_CASE(callersOfRegionWithoutVmsGetOtherRegions) {
  BOOST_TEST(
      (resolve(base::RegionName("west"), at(0s)) == Addresses{"vm0:80"}));
}

// VMs that are cut off from the store refuse keys. Callers are sent to other
// regions while a VM there is fresh, and to any VM if none is.
BOOST_AUTO_TEST_CASE(staleVmsAreUsedOnlyWhenNoneIsFresh) {
  OwnReport_.IsCurrent_ = false;
  Members_.recordReport(report("vm1", "west-a"), at(0s));
  BOOST_TEST((resolve(East, at(0s)) == Addresses{"vm1:80"}));
  MemberReport Other = report("vm1", "west-a");
  Other.IsCurrent_ = false;
  Members_.recordReport(Other, at(1s));
  BOOST_TEST((resolve(East, at(1s)) == Addresses{"vm0:80"}));
}

BOOST_AUTO_TEST_CASE(reportOfEarlierIncarnationIsIgnored) {
  MemberReport Other = report("vm1");
  Other.Incarnation_ = 5;
  BOOST_TEST(Members_.recordReport(Other, at(0s)));
  Other.Incarnation_ = 4;
  Other.IsLeaving_ = true;
  BOOST_TEST(!Members_.recordReport(Other, at(0s)));
  BOOST_TEST(!Members_.find("vm1")->IsLeaving_);
}

BOOST_AUTO_TEST_CASE(inFlightRequestsOfLiveVmsAreSummed) {
  const NameTag Upstream = tagOf("u1");
  for (const char *Name : {"vm1", "vm2"}) {
    MemberReport Other = report(Name);
    Other.InFlight_[Upstream] = 2;
    Members_.recordReport(Other, at(0s));
  }
  BOOST_TEST(Members_.inFlightElsewhere(at(1s)).at(Upstream) == 4);
  BOOST_TEST(Members_.inFlightElsewhere(at(5s)).empty());
}

BOOST_AUTO_TEST_CASE(firstFreshVmOfRegionReadsStore) {
  const MemberReport OwnReport = report("vm5", "east-a");
  BOOST_TEST(readsForRegion(OwnReport, Members_, at(0s)));
  Members_.recordReport(report("vm1", "west-a"), at(0s));
  BOOST_TEST(readsForRegion(OwnReport, Members_, at(0s)));
  MemberReport Stale = report("vm2", "east-b");
  Stale.IsCurrent_ = false;
  Members_.recordReport(Stale, at(0s));
  BOOST_TEST(readsForRegion(OwnReport, Members_, at(0s)));
  Members_.recordReport(report("vm3", "east-b"), at(0s));
  BOOST_TEST(!readsForRegion(OwnReport, Members_, at(0s)));
  // vm3 stops reporting.
  BOOST_TEST(readsForRegion(OwnReport, Members_, at(3s)));
  Members_.recordReport(report("vm3", "east-b"), at(4s));
  MemberReport Leaving = report("vm3", "east-b");
  Leaving.IsLeaving_ = true;
  Members_.recordReport(Leaving, at(5s));
  BOOST_TEST(readsForRegion(OwnReport, Members_, at(5s)));
  MemberReport StaleOwnReport = OwnReport;
  StaleOwnReport.IsCurrent_ = false;
  BOOST_TEST(!readsForRegion(StaleOwnReport, Members_, at(5s)));
}

// Callers are sent to another region rather than to VMs that reach no upstream.
// If none reaches one, all are named.
BOOST_AUTO_TEST_CASE(vmsWithoutUpstreamsAreNamedOnlyWhenNoneHasAny) {
  OwnReport_.ReachesNoUpstream_ = true;
  MemberReport Other = report("vm1", "west-a");
  Members_.recordReport(Other, at(0s));
  BOOST_TEST((resolve(East, at(1s)) == Addresses{"vm1:80"}));
  Other.ReachesNoUpstream_ = true;
  Members_.recordReport(Other, at(1s));
  BOOST_TEST((resolve(East, at(1s)) == Addresses{"vm0:80"}));
}

// A VM that is not heard of may be running and cut off.
BOOST_AUTO_TEST_CASE(silentAndListedVmsCountAmongThoseThatShare) {
  const std::set<std::string> Listed = {"vm0", "vm1", "vm2"};
  BOOST_TEST(!Members_.isListKnown());
  Members_.setListed(Listed, at(0s));
  BOOST_TEST(Members_.isListKnown());
  BOOST_TEST((Members_.sharingNames(at(1s)) == Addresses{"vm1", "vm2"}));
  Members_.recordReport(report("vm1"), at(10s));
  Members_.recordReport(report("vm3"), at(10s));
  BOOST_TEST(
      (Members_.sharingNames(at(50s)) == Addresses{"vm1", "vm3", "vm2"}));
  BOOST_TEST((Members_.sharingNames(at(65s)) == Addresses{"vm1", "vm3"}));
  BOOST_TEST(Members_.sharingNames(at(80s)).empty());
  Members_.setListed({"vm0", "vm4"}, at(80s));
  BOOST_TEST((Members_.sharingNames(at(81s)) == Addresses{"vm4"}));
}

BOOST_AUTO_TEST_SUITE_END()
