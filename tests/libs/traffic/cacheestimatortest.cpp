#include "traffic/cacheestimator.h"
#include "libs/traffic/fixtures.h"
#include "traffic/slotprice.h"
#include "traffic/worktimes.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

BOOST_AUTO_TEST_SUITE(cacheestimatortest)

BOOST_AUTO_TEST_CASE(expectsObjectOnlyAtItsFirstUpstreamAtStart) {
  const CacheEstimator Estimator;
  BOOST_TEST(Estimator.probability(1, true, at(0s)) > 0.5);
  BOOST_TEST(Estimator.probability(1, false, at(0s)) < 0.5);
}

// An object that was served by another upstream than its first one is cached
// there afterwards.
BOOST_AUTO_TEST_CASE(expectsObjectWhereItWasServed) {
  CacheEstimator Estimator;
  Estimator.record(1, false, false, at(0s));
  BOOST_TEST(Estimator.probability(1, false, at(100ms)) > 0.5);
  BOOST_TEST(Estimator.probability(2, false, at(100ms)) < 0.5);
}

// While objects are displaced within a second, a response after two seconds
// comes from no cache, also at the first upstream.
BOOST_AUTO_TEST_CASE(learnsHowSoonObjectsAreDisplaced) {
  CacheEstimator Estimator;
  base::TimePoint Now = at(0s);
  for (int I = 0; I < 100; ++I) {
    Now += 300ms;
    Estimator.record(1, true, true, Now);
    Now += 2500ms;
    Estimator.record(1, true, false, Now);
  }
  BOOST_TEST(Estimator.probability(1, true, Now + 300ms) > 0.8);
  BOOST_TEST(Estimator.probability(1, true, Now + 2500ms) < 0.2);
}

BOOST_AUTO_TEST_CASE(forgetsPairsBeyondItsTable) {
  CacheEstimator Estimator;
  Estimator.record(1, false, false, at(0s));
  for (std::uint64_t Key = 2; Key < 100'000; ++Key)
    Estimator.record(Key, false, false, at(0s));
  BOOST_TEST(Estimator.probability(1, false, at(0s)) < 0.5);
}

BOOST_AUTO_TEST_CASE(slotTimeIsFreeWhileSlotsAreIdle) {
  BOOST_TEST(SlotPrice::at(0.1) == 0.0);
  BOOST_TEST(SlotPrice::at(0.6) > 0.0);
  BOOST_TEST(SlotPrice::at(1.0) > SlotPrice::at(0.6));
}

BOOST_AUTO_TEST_CASE(tellsCachedResponsesFromOthersByTheirTime) {
  WorkTimes Times(600ms);
  for (int I = 0; I < 200; ++I) {
    Times.recordResponse(true, 150ms, 1.0);
    Times.recordResponse(false, 500ms, 1.0);
  }
  BOOST_TEST(Times.wasCached(200ms, 1.0));
  BOOST_TEST(!Times.wasCached(400ms, 1.0));
  // A slow upstream takes three times as long for the same work.
  BOOST_TEST(Times.wasCached(450ms, 3.0));
}

BOOST_AUTO_TEST_SUITE_END()
