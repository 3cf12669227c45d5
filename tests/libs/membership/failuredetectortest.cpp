#include "membership/failuredetector.h"
#include "membership/pausemeter.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::membership;
using namespace std::chrono_literals;
using ebony::base::Duration;
using ebony::base::TimePoint;

namespace {

const MembershipSettings Settings;

/// Records \p Count heartbeats \p Gap apart and returns the time of the last.
ProcessTime recordHeartbeats(FailureDetector &Detector, Duration Gap,
                             int Count) {
  ProcessTime Now{TimePoint(100s)};
  for (int Index = 0; Index < Count; ++Index) {
    Now.Real_ += Gap;
    Detector.recordHeartbeat(Now, Now);
  }
  return Now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(failuredetectortest)

BOOST_AUTO_TEST_CASE(timeoutFollowsGapsWithinBounds) {
  FailureDetector Steady(Settings);
  recordHeartbeats(Steady, 500ms, 50);
  BOOST_TEST(Steady.suspicionTimeout().count() ==
             Settings.MinSuspicionTimeout_.count());
  FailureDetector Slow(Settings);
  recordHeartbeats(Slow, 1500ms, 50);
  BOOST_TEST(Slow.suspicionTimeout().count() >
             Settings.MinSuspicionTimeout_.count());
  FailureDetector Slowest(Settings);
  recordHeartbeats(Slowest, 4s, 50);
  BOOST_TEST(Slowest.suspicionTimeout().count() ==
             Settings.MaxSuspicionTimeout_.count());
}

BOOST_AUTO_TEST_CASE(suspectsOnlyAfterTimeout) {
  FailureDetector Detector(Settings);
  BOOST_TEST(Detector.isSuspected({TimePoint(100s)}));
  const ProcessTime Last = recordHeartbeats(Detector, 500ms, 20);
  BOOST_TEST(!Detector.isSuspected({Last.Real_ + Detector.suspicionTimeout()}));
  BOOST_TEST(
      Detector.isSuspected({Last.Real_ + Detector.suspicionTimeout() + 1us}));
}

BOOST_AUTO_TEST_CASE(ownPauseDoesNotRaiseSuspicion) {
  FailureDetector Detector(Settings);
  PauseMeter Pauses(Settings.PauseThreshold_);
  TimePoint Now(100s);
  for (int Index = 0; Index < 20; ++Index) {
    const ProcessTime Observed = Pauses.observe(Now += 100ms);
    Detector.recordHeartbeat(Observed, Observed);
  }
  BOOST_TEST(!Detector.isSuspected(Pauses.observe(Now += 60s)));
  for (int Index = 0; Index < 35; ++Index)
    Pauses.observe(Now += 100ms);
  BOOST_TEST(Detector.isSuspected(Pauses.observe(Now)));
}

BOOST_AUTO_TEST_SUITE_END()
