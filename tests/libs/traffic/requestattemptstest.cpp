#include "traffic/requestattempts.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr unsigned DidNotRun = 503;

struct Fixture {
  UpstreamTable Table_ = table();
  ColdUpstreamLimiter Cold_{"vm1", 0.8};
  Dispatcher Upstreams_{Table_, PlacementOrder(base::RegionName("east"), 3),
                        Cold_, DispatcherSettings(), base::RandomEngine(1)};
  RetryBudget Budget_{0.2, 100, 10s};
  RequestAttempts Tally_{Budget_, Upstreams_};
  RouteSettings Route_;
  std::unique_ptr<Job> Job_ = job(1, at(0s));

  Fixture() { Route_.MaxAttempts_ = 3; }

  bool repeatsAfter(AttemptResult Result) {
    Tally_.recordResult(Result);
    return Tally_.mayRetry(*Job_, Route_, Result, false, at(100ms));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestattemptstest, Fixture)

BOOST_AUTO_TEST_CASE(whatMayHaveRunIsNeitherRepeatedNorCalledNotRun) {
  Job_->RetryPolicy_ = RetryPolicy::AtMostOnce;
  for (const AttemptResult Result :
       {AttemptResult::ConnectionLost, AttemptResult::TimedOut,
        AttemptResult::Failed}) {
    RequestAttempts Own(Budget_, Upstreams_);
    Own.recordResult(Result);
    BOOST_TEST(!Own.mayRetry(*Job_, Route_, Result, false, at(100ms)));
    BOOST_TEST(Own.failureStatus(false) != DidNotRun);
    BOOST_TEST(Own.failureStatus(true) != DidNotRun);
  }
}

BOOST_AUTO_TEST_CASE(whatDidNotRunIsRepeated) {
  Job_->RetryPolicy_ = RetryPolicy::AtMostOnce;
  BOOST_TEST(repeatsAfter(AttemptResult::Shed));
  BOOST_TEST(repeatsAfter(AttemptResult::Misdirected));
  BOOST_TEST(Tally_.failureStatus(false) == DidNotRun);
  // The third attempt is the last that the route allows.
  BOOST_TEST(!repeatsAfter(AttemptResult::Shed));
}

// An idempotent request that may have run once is not called "not run" when a
// later attempt is turned away.
BOOST_AUTO_TEST_CASE(aLaterRefusalDoesNotUndoAnEarlierRun) {
  BOOST_TEST(repeatsAfter(AttemptResult::ConnectionLost));
  BOOST_TEST(repeatsAfter(AttemptResult::Shed));
  BOOST_TEST(Tally_.failureStatus(false) != DidNotRun);
}

BOOST_AUTO_TEST_CASE(unreachableUpstreamsCostNoBudgetButAreBounded) {
  BOOST_TEST(repeatsAfter(AttemptResult::Unreachable));
  BOOST_TEST(repeatsAfter(AttemptResult::Unreachable));
  BOOST_TEST(!repeatsAfter(AttemptResult::Unreachable));
  BOOST_TEST(Tally_.attempts() == 0);
}

BOOST_AUTO_TEST_CASE(aBodyThatIsNotKeptIsNotRepeated) {
  Tally_.recordResult(AttemptResult::Shed);
  BOOST_TEST(
      !Tally_.mayRetry(*Job_, Route_, AttemptResult::Shed, true, at(100ms)));
}

// Leaving a silent upstream is charged once, for the repeat that follows.
BOOST_AUTO_TEST_CASE(leavingASilentUpstreamChargesOnce) {
  Table_.put(upstream("u1", "east-a", 4), at(0s));
  Table_.put(upstream("u2", "east-a", 4), at(0s));
  // No share of the requests, and a slack of two repeats.
  RetryBudget Budget(0, 3, 10s);
  RequestAttempts Own(Budget, Upstreams_);
  const Placement Sent = Upstreams_.submit(Job_, at(0s));
  Upstreams_.beginAttempt(Sent, *Job_, at(0s));
  BOOST_TEST(Own.reserveRetry(*Job_, Route_, false, at(100ms)));
  Own.recordResult(AttemptResult::TimedOut);
  BOOST_TEST(
      Own.mayRetry(*Job_, Route_, AttemptResult::TimedOut, false, at(100ms)));
  BOOST_TEST(Budget.acquire(Job_->Service_, at(100ms)));
  BOOST_TEST(!Budget.acquire(Job_->Service_, at(100ms)));
}

BOOST_AUTO_TEST_SUITE_END()
