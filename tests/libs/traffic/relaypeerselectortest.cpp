#include "traffic/relaypeerselector.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

struct Fixture {
  MemberTable Members_{"vm0", 2500ms};
  RelayPeerSelector Selector_{base::RegionName("east"), base::RandomEngine(1)};

  void add(const std::string &Name, const std::string &Zone, int Core = 200) {
    MemberReport Report = report(Name, Zone);
    Report.CorePermille_ = Core;
    Members_.recordReport(Report, at(0s));
  }

  std::string select(const std::vector<base::RegionName> &Homes = {},
                     const std::vector<std::string> &Tried = {}) {
    const auto Peer = Selector_.select(Members_, Homes, Tried, at(1s));
    return Peer ? Peer->Name_ : "";
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relaypeerselectortest, Fixture)

BOOST_AUTO_TEST_CASE(prefersVmOfOwnRegion) {
  add("far", "west-a");
  BOOST_TEST(select() == "far");
  add("near", "east-b");
  BOOST_TEST(select() == "near");
  BOOST_TEST(select({}, {"near"}) == "far");
  BOOST_TEST(select({}, {"near", "far"}).empty());
}

BOOST_AUTO_TEST_CASE(selectsOnlyVmsOfHomeRegions) {
  add("near", "east-b");
  BOOST_TEST(select({base::RegionName("west")}).empty());
  add("far", "west-a");
  BOOST_TEST(select({base::RegionName("west")}) == "far");
}

BOOST_AUTO_TEST_CASE(selectsOnlyVmsThatCanServe) {
  for (const auto Change :
       {+[](MemberReport &One) { One.IsReady_ = false; },
        +[](MemberReport &One) { One.IsLeaving_ = true; },
        +[](MemberReport &One) { One.IsCurrent_ = false; },
        +[](MemberReport &One) { One.ReachesNoUpstream_ = true; }}) {
    MemberReport Report = report("near", "east-b");
    Change(Report);
    Members_.recordReport(Report, at(0s));
    BOOST_TEST(select().empty());
  }
}

// All VMs of a zone relay to few others: the load follows the CPU shares, and
// what is too much for the region goes to other regions.
BOOST_AUTO_TEST_CASE(spreadsRequestsByCpuShare) {
  add("small", "east-b", 100);
  add("large", "east-b", 300);
  add("far", "west-a", 200);
  std::map<std::string, int> Counts;
  for (int I = 0; I < 120; ++I) {
    const std::string Name = select();
    ++Counts[Name];
    Selector_.recordStart(Name);
  }
  BOOST_TEST(Counts["small"] <= 22);
  BOOST_TEST(Counts["large"] <= 62);
  BOOST_TEST(Counts["far"] >= 36);
  for (int I = 0; I < 22; ++I)
    Selector_.recordEnd("small");
  BOOST_TEST(select() == "small");
}

BOOST_AUTO_TEST_SUITE_END()
