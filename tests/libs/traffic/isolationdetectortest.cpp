#include "traffic/isolationdetector.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

MemberTable listedTable(int OtherVms) {
  MemberTable Members("vm0", 2500ms);
  std::set<std::string> Names = {"vm0"};
  for (int I = 1; I <= OtherVms; ++I)
    Names.insert("vm" + std::to_string(I));
  Members.setListed(Names, at(0s));
  return Members;
}

void hear(MemberTable &Members, int Vms, ebony::base::TimePoint Now) {
  for (int I = 1; I <= Vms; ++I)
    Members.recordReport(report("vm" + std::to_string(I)), Now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(isolationdetectortest)

BOOST_AUTO_TEST_CASE(vmWithNewsOfTheStoreIsNotIsolated) {
  MemberTable Members = listedTable(11);
  IsolationDetector Detector;
  BOOST_TEST(!Detector.update(Members, 900ms, at(10s)));
  BOOST_TEST(Detector.hearsFewVms());
  BOOST_TEST(!Detector.isIsolated());
}

BOOST_AUTO_TEST_CASE(vmThatHearsAllOthersIsNotIsolated) {
  MemberTable Members = listedTable(11);
  IsolationDetector Detector;
  hear(Members, 11, at(10s));
  BOOST_TEST(!Detector.update(Members, 9s, at(10s)));
  BOOST_TEST(!Detector.hearsFewVms());
}

BOOST_AUTO_TEST_CASE(vmOfSmallPartIsIsolatedUntilItHearsOthers) {
  MemberTable Members = listedTable(11);
  IsolationDetector Detector;
  hear(Members, 11, at(10s));
  Detector.update(Members, 9s, at(10s));
  hear(Members, 3, at(10800ms));
  BOOST_TEST(Detector.update(Members, 9s, at(10800ms)));
  BOOST_TEST(Detector.isIsolated());
  BOOST_TEST(Detector.heardCount() == 3U);
  hear(Members, 11, at(11s));
  BOOST_TEST(Detector.update(Members, 9s, at(11s)));
  BOOST_TEST(!Detector.isIsolated());
}

// The one that is not heard may have the store.
BOOST_AUTO_TEST_CASE(vmThatHearsAllButOneIsIsolatedForAWhile) {
  MemberTable Members = listedTable(11);
  IsolationDetector Detector;
  hear(Members, 11, at(10s));
  hear(Members, 10, at(12s));
  BOOST_TEST(Detector.update(Members, 2s, at(12s)));
  BOOST_TEST(Detector.isIsolated());
  BOOST_TEST(Detector.silentCount() == 1U);
  hear(Members, 10, at(21s));
  BOOST_TEST(Detector.update(Members, 9s, at(21s)));
  BOOST_TEST(!Detector.isIsolated());
}

BOOST_AUTO_TEST_CASE(vmThatLeavesIsNotMissed) {
  MemberTable Members = listedTable(11);
  IsolationDetector Detector;
  hear(Members, 11, at(10s));
  MemberReport Leaving = report("vm11");
  Leaving.IsLeaving_ = true;
  Members.recordReport(Leaving, at(10s));
  hear(Members, 10, at(12s));
  BOOST_TEST(!Detector.update(Members, 2s, at(12s)));
}

BOOST_AUTO_TEST_CASE(onlyVmIsNeverIsolated) {
  MemberTable Members = listedTable(0);
  IsolationDetector Detector;
  BOOST_TEST(!Detector.update(Members, 9s, at(10s)));
  BOOST_TEST(!Detector.isIsolated());
}

// Reports in a large fleet are rarer.
BOOST_AUTO_TEST_CASE(rareReportsOfLargeFleetAreNoIsolation) {
  MemberTable Members = listedTable(299);
  IsolationDetector Detector;
  hear(Members, 299, at(10s));
  BOOST_TEST(!Detector.update(Members, 9s, at(14s)));
  BOOST_TEST(!Detector.isIsolated());
}

BOOST_AUTO_TEST_SUITE_END()
