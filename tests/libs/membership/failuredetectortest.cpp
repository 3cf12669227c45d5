#include "membership/failuredetector.h"
#include "membership/pausedetector.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::membership;
using namespace std::chrono_literals;
using ebony::base::Duration;
using ebony::base::TimePoint;

namespace {

const MembershipSettings Settings;

/// Feeds \p Count heartbeats \p Gap apart and returns the last moment.
ProcessTime feed(FailureDetector &Detector, Duration Gap, int Count) {
  ProcessTime Now{TimePoint(100s)};
  for (int Index = 0; Index < Count; ++Index) {
    Now.Real_ += Gap;
    Detector.hear(Now, Now);
  }
  return Now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(failuredetectortest)

BOOST_AUTO_TEST_CASE(limitFollowsTheGapsBetweenItsBounds) {
  FailureDetector Steady(Settings);
  feed(Steady, 500ms, 50);
  BOOST_TEST(Steady.limit().count() == Settings.ShortestSilence_.count());
  FailureDetector Slow(Settings);
  feed(Slow, 1500ms, 50);
  BOOST_TEST(Slow.limit().count() > Settings.ShortestSilence_.count());
  FailureDetector Slowest(Settings);
  feed(Slowest, 4s, 50);
  BOOST_TEST(Slowest.limit().count() == Settings.LongestSilence_.count());
}

BOOST_AUTO_TEST_CASE(suspectsOnlyPastTheLimit) {
  FailureDetector Detector(Settings);
  BOOST_TEST(Detector.suspects({TimePoint(100s)}));
  const ProcessTime Last = feed(Detector, 500ms, 20);
  BOOST_TEST(!Detector.suspects({Last.Real_ + Detector.limit()}));
  BOOST_TEST(Detector.suspects({Last.Real_ + Detector.limit() + 1us}));
}

BOOST_AUTO_TEST_CASE(ownPauseIsNoSilenceOfOthers) {
  FailureDetector Detector(Settings);
  PauseDetector Meter(Settings.PauseThreshold_);
  TimePoint Now(100s);
  for (int Index = 0; Index < 20; ++Index) {
    const ProcessTime Read = Meter.read(Now += 100ms);
    Detector.hear(Read, Read);
  }
  BOOST_TEST(!Detector.suspects(Meter.read(Now += 60s)));
  for (int Index = 0; Index < 35; ++Index)
    Meter.read(Now += 100ms);
  BOOST_TEST(Detector.suspects(Meter.read(Now)));
}

BOOST_AUTO_TEST_SUITE_END()
