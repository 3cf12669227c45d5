#include "trust/freshnesstracker.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::trust;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(freshnesstrackertest)

BOOST_AUTO_TEST_CASE(expiresAtStalenessLimitLessDrift) {
  FreshnessTracker Tracker({5s, 1000});
  const base::TimePoint Start(1h);
  BOOST_TEST(!Tracker.isFresh(Start));
  Tracker.addEvidence({0, Start});
  BOOST_TEST(Tracker.isFresh(Start + 4994ms));
  BOOST_TEST(!Tracker.isFresh(Start + 4995ms));
}

BOOST_AUTO_TEST_CASE(evidenceForLaterRevisionCountsOnceItIsApplied) {
  FreshnessTracker Tracker({5s, 0});
  const base::TimePoint Start(1h);
  Tracker.addEvidence({0, Start});
  Tracker.addEvidence({1, Start + 3s});
  BOOST_TEST(!Tracker.isFresh(Start + 6s));
  Tracker.recordApplied(1);
  BOOST_TEST(Tracker.isFresh(Start + 6s));
  Tracker.addEvidence({1, Start});
  BOOST_TEST(Tracker.isFresh(Start + 6s));
}

BOOST_AUTO_TEST_SUITE_END()
