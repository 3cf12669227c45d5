#include "idempotency/attempttracker.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::idempotency;

BOOST_AUTO_TEST_SUITE(attempttrackertest)

BOOST_AUTO_TEST_CASE(allowsRetryAfterFailedConnectAndUpstreamRefusal) {
  AttemptTracker Tracker(3);
  Tracker.beginAttempt();
  Tracker.recordFailureBeforeSending();
  BOOST_TEST(Tracker.canAttempt());
  Tracker.beginAttempt();
  Tracker.recordSent();
  Tracker.recordRefusal();
  BOOST_TEST(Tracker.canAttempt());
  Tracker.beginAttempt();
  Tracker.recordFailure();
  BOOST_TEST(!Tracker.canAttempt());
  BOOST_CHECK(Tracker.outcome() == Outcome::NotRun);
}

BOOST_AUTO_TEST_CASE(allowsNoRetryOnceAByteWasSent) {
  AttemptTracker Tracker(3);
  Tracker.beginAttempt();
  Tracker.recordSent();
  BOOST_CHECK(Tracker.outcome() == Outcome::Unknown);
  Tracker.recordFailureBeforeSending();
  BOOST_TEST(!Tracker.canAttempt());
  Tracker.recordFailure();
  Tracker.recordRefusal();
  BOOST_TEST(!Tracker.canAttempt());
  BOOST_CHECK(Tracker.outcome() == Outcome::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()
