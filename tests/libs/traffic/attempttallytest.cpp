#include "traffic/attempttally.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr unsigned NotExecuted = 503;

struct Fixture {
  UpstreamTable Table_ = table();
  ColdUpstreamLimiter ColdLimiter_{"vm1", 0.8};
  UpstreamRateLimiter RateLimiter_{"vm1", base::RegionName("east")};
  Dispatcher Dispatcher_{Table_,
                         PlacementOrder(base::RegionName("east"), 3),
                         ColdLimiter_,
                         RateLimiter_,
                         DispatcherSettings(),
                         base::RandomEngine(1)};
  RetryBudget Budget_{0.2, 100, 10s};
  AttemptTally Attempts_{Budget_, Dispatcher_};
  RouteSettings Route_;
  std::unique_ptr<Job> Job_ = job(1, at(0s));

  Fixture() {
    Route_.MaxAttempts_ = 3;
    // The slack is used once the fleet has been known for a window.
    Budget_.setVmCount(1, at(-10s));
  }

  bool retriesAfter(AttemptResult Result) {
    Attempts_.recordResult(Result);
    return Attempts_.mayRetry(*Job_, Route_, Result, false, at(100ms));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(attempttallytest, Fixture)

BOOST_AUTO_TEST_CASE(possiblyExecutedRequestIsNotRetriedOrReportedUnexecuted) {
  Job_->RetryPolicy_ = RetryPolicy::AtMostOnce;
  for (const AttemptResult Result :
       {AttemptResult::ConnectionLost, AttemptResult::TimedOut,
        AttemptResult::Failed}) {
    AttemptTally Attempts(Budget_, Dispatcher_);
    Attempts.recordResult(Result);
    BOOST_TEST(!Attempts.mayRetry(*Job_, Route_, Result, false, at(100ms)));
    BOOST_TEST(Attempts.failureStatus(false) != NotExecuted);
    BOOST_TEST(Attempts.failureStatus(true) != NotExecuted);
  }
}

BOOST_AUTO_TEST_CASE(unexecutedRequestIsRetriedUpToMaxAttempts) {
  Job_->RetryPolicy_ = RetryPolicy::AtMostOnce;
  BOOST_TEST(retriesAfter(AttemptResult::Shed));
  BOOST_TEST(retriesAfter(AttemptResult::Misdirected));
  BOOST_TEST(Attempts_.failureStatus(false) == NotExecuted);
  // The third attempt is the last one allowed by the route.
  BOOST_TEST(!retriesAfter(AttemptResult::Shed));
}

// An idempotent request that may have been executed must not be reported as not
// executed because a later attempt was shed.
BOOST_AUTO_TEST_CASE(laterShedDoesNotHideEarlierExecution) {
  BOOST_TEST(retriesAfter(AttemptResult::ConnectionLost));
  BOOST_TEST(retriesAfter(AttemptResult::Shed));
  BOOST_TEST(Attempts_.failureStatus(false) != NotExecuted);
}

BOOST_AUTO_TEST_CASE(unreachableUpstreamsAreRetriedWithoutBudgetUpToLimit) {
  BOOST_TEST(retriesAfter(AttemptResult::Unreachable));
  BOOST_TEST(retriesAfter(AttemptResult::Unreachable));
  BOOST_TEST(!retriesAfter(AttemptResult::Unreachable));
  BOOST_TEST(Attempts_.attempts() == 0);
}

BOOST_AUTO_TEST_CASE(requestWithUnbufferedBodyIsNotRetried) {
  Attempts_.recordResult(AttemptResult::Shed);
  BOOST_TEST(
      !Attempts_.mayRetry(*Job_, Route_, AttemptResult::Shed, true, at(100ms)));
}

// Abandoning an upstream that does not respond is charged once, for the retry
// that follows.
BOOST_AUTO_TEST_CASE(reservedRetryIsChargedOnce) {
  Table_.put(upstream("u1", "east-a", 4), at(0s));
  Table_.put(upstream("u2", "east-a", 4), at(0s));
  // Ratio 0, and a slack of 3 of which 70% is used: two retries.
  RetryBudget Budget(0, 3, 10s);
  Budget.setVmCount(1, at(-10s));
  AttemptTally Attempts(Budget, Dispatcher_);
  const Placement Sent = Dispatcher_.submit(Job_, at(0s));
  Dispatcher_.beginAttempt(Sent, *Job_, at(0s));
  BOOST_TEST(Attempts.reserveRetry(*Job_, Route_, false, at(100ms)));
  Attempts.recordResult(AttemptResult::TimedOut);
  BOOST_TEST(Attempts.mayRetry(*Job_, Route_, AttemptResult::TimedOut, false,
                               at(100ms)));
  BOOST_TEST(Budget.acquire(Job_->Service_, at(100ms)));
  BOOST_TEST(!Budget.acquire(Job_->Service_, at(100ms)));
}

BOOST_AUTO_TEST_SUITE_END()
