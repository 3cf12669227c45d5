#include "traffic/attempttally.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr unsigned DidNotRun = 503;

struct Fixture {
  UpstreamTable Table_ = table();
  ColdGate Cold_{"vm1", 0.8};
  Dispatcher Upstreams_{Table_, PlacementOrder(base::RegionName("east"), 3),
                        Cold_, DispatchTerms(), base::RandomEngine(1)};
  RetryBudget Budget_{0.2, 100, 10s};
  AttemptTally Tally_{Budget_, Upstreams_};
  RouteTerms Route_;
  std::unique_ptr<Job> Job_ = job(1, at(0s));

  Fixture() { Route_.MaxAttempts_ = 3; }

  bool repeatsAfter(AttemptResult Result) {
    Tally_.note(Result);
    return Tally_.mayRepeat(*Job_, Route_, Result, false, at(100ms));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(attempttallytest, Fixture)

BOOST_AUTO_TEST_CASE(whatMayHaveRunIsNeitherRepeatedNorCalledNotRun) {
  Job_->Repeats_ = RepeatRule::AtMostOnce;
  for (const AttemptResult Result :
       {AttemptResult::Lost, AttemptResult::Silent, AttemptResult::Failed}) {
    AttemptTally Own(Budget_, Upstreams_);
    Own.note(Result);
    BOOST_TEST(!Own.mayRepeat(*Job_, Route_, Result, false, at(100ms)));
    BOOST_TEST(Own.failureStatus(false) != DidNotRun);
    BOOST_TEST(Own.failureStatus(true) != DidNotRun);
  }
}

BOOST_AUTO_TEST_CASE(whatDidNotRunIsRepeated) {
  Job_->Repeats_ = RepeatRule::AtMostOnce;
  BOOST_TEST(repeatsAfter(AttemptResult::Shed));
  BOOST_TEST(repeatsAfter(AttemptResult::Misdirected));
  BOOST_TEST(Tally_.failureStatus(false) == DidNotRun);
  // The third attempt is the last that the route allows.
  BOOST_TEST(!repeatsAfter(AttemptResult::Shed));
}

// An idempotent request that may have run once is not called "not run" when a
// later attempt is turned away.
BOOST_AUTO_TEST_CASE(aLaterRefusalDoesNotUndoAnEarlierRun) {
  BOOST_TEST(repeatsAfter(AttemptResult::Lost));
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
  Tally_.note(AttemptResult::Shed);
  BOOST_TEST(
      !Tally_.mayRepeat(*Job_, Route_, AttemptResult::Shed, true, at(100ms)));
}

// Leaving a silent upstream is charged once, for the repeat that follows.
BOOST_AUTO_TEST_CASE(leavingASilentUpstreamChargesOnce) {
  Table_.put(upstream("u1", "east-a", 4), at(0s));
  Table_.put(upstream("u2", "east-a", 4), at(0s));
  // No share of the requests, and a slack of two repeats.
  RetryBudget Budget(0, 3, 10s);
  AttemptTally Own(Budget, Upstreams_);
  const Placement Sent = Upstreams_.submit(Job_, at(0s));
  Upstreams_.begin(Sent, *Job_, at(0s));
  BOOST_TEST(Own.mayGiveUp(*Job_, Route_, false, at(100ms)));
  Own.note(AttemptResult::Silent);
  BOOST_TEST(
      Own.mayRepeat(*Job_, Route_, AttemptResult::Silent, false, at(100ms)));
  BOOST_TEST(Budget.take(Job_->Service_, at(100ms)));
  BOOST_TEST(!Budget.take(Job_->Service_, at(100ms)));
}

BOOST_AUTO_TEST_SUITE_END()
