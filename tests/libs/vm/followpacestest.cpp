#include "vm/followpaces.h"
#include "vm/fleetbounds.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

BOOST_AUTO_TEST_SUITE(followpacestest)

// A copy of the table may become as old as two long polls. With a wait of 2.8
// s, a VM that could reach the store refused valid keys under normal
// conditions.
BOOST_AUTO_TEST_CASE(keysStayTrustedDuringTwoLongPolls) {
  constexpr base::Duration RoundTrip = std::chrono::milliseconds(200);
  const base::Duration Trusted = base::fromSeconds(
      base::toSeconds(FleetBounds().KeyWithdrawal_) * TrustFraction);
  const FollowPace Pace = trustedPace(FleetBounds());
  const base::Duration Current = base::fromSeconds(
      base::toSeconds(FleetBounds().KeyWithdrawal_) * CurrentFraction);
  BOOST_TEST((2 * Pace.LongPollWait_ + RoundTrip < Trusted));
  BOOST_TEST((2 * Pace.LongPollWait_ + RoundTrip < Current));
  // A VM that relies on table news reads the store before the trust ends, with
  // time for a retry, and still counts as current at that point.
  constexpr base::Duration Retry = std::chrono::milliseconds(800);
  BOOST_TEST((Pace.MaxRelayedAge_ + Retry + RoundTrip < Trusted));
  BOOST_TEST((Pace.MaxRelayedAge_ + RoundTrip < Current));
}

// Upstreams that drain or were removed must receive no requests after 3 s: a VM
// whose region's reader has ended reads the store before that.
BOOST_AUTO_TEST_CASE(readsRemovedUpstreamsWithinDrainBound) {
  constexpr base::Duration RoundTrip = std::chrono::milliseconds(200);
  constexpr base::Duration DrainBound = std::chrono::seconds(3);
  BOOST_TEST((UpstreamPace.MaxRelayedAge_ + RoundTrip < DrainBound));
}

// Guards against a new configuration that takes effect too late: the region's
// reader was cut off, and a VM that relied on its news refused requests of a
// new configuration 2.6 s after it was written, while the limit is 2.5 s
// (scenario scale-2 of cadeira-sul, seed 172771757498).
BOOST_AUTO_TEST_CASE(appliesConfigurationInTimeWhenReaderIsCutOff) {
  constexpr base::Duration RoundTrip = std::chrono::milliseconds(200);
  constexpr base::Duration MinInterval = std::chrono::milliseconds(100);
  for (const int BoundMs : {1500, 2500, 3000, 5000}) {
    FleetBounds Bounds;
    Bounds.Propagation_ = std::chrono::milliseconds(BoundMs);
    const FollowPace Pace = trustedPace(Bounds);
    // The last news carried a fresh proof, and the change was written right
    // after it.
    constexpr base::Duration Zero{};
    const base::Duration TimeUntilRead = Pace.timeUntilPoll(Zero, Zero);
    BOOST_TEST_CONTEXT("bound of " << BoundMs << " ms") {
      BOOST_TEST((TimeUntilRead + 2 * RoundTrip < Bounds.Propagation_));
      // Under normal conditions the next news arrives before that.
      BOOST_TEST((Pace.LongPollWait_ + MinInterval + RoundTrip <
                  Pace.timeUntilPoll(Pace.LongPollWait_, Zero)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
