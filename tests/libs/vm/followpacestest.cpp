#include "vm/followpaces.h"
#include "vm/fleetbounds.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

BOOST_AUTO_TEST_SUITE(followpacestest)

// Knowledge grows as old as two held questions. With 2.8 s a VM in touch with
// its store refused keys in a calm day.
BOOST_AUTO_TEST_CASE(knowledgeStaysTrustedBetweenTwoQuestions) {
  constexpr base::Duration RoundTrip = std::chrono::milliseconds(200);
  const base::Duration Trusted = base::fromSeconds(
      base::toSeconds(FleetBounds().KeyWithdrawal_) * TrustPart);
  const FollowPace Pace = trustedPace(FleetBounds());
  const base::Duration Current = base::fromSeconds(
      base::toSeconds(FleetBounds().KeyWithdrawal_) * CurrentPart);
  BOOST_TEST((2 * Pace.Wait_ + RoundTrip < Trusted));
  BOOST_TEST((2 * Pace.Wait_ + RoundTrip < Current));
  // A VM that lives on news asks the store before its trust ends, with time for
  // a repeat, and it still counts as current when it does.
  constexpr base::Duration Repeat = std::chrono::milliseconds(800);
  BOOST_TEST((Pace.RestAge_ + Repeat + RoundTrip < Trusted));
  BOOST_TEST((Pace.RestAge_ + RoundTrip < Current));
}

// Upstreams that drain or are gone get nothing more after 3 s: a VM whose
// region's reader has ended asks before that.
BOOST_AUTO_TEST_CASE(leavingUpstreamsAreKnownInTime) {
  constexpr base::Duration RoundTrip = std::chrono::milliseconds(200);
  constexpr base::Duration DrainBound = std::chrono::seconds(3);
  BOOST_TEST((UpstreamPace.RestAge_ + RoundTrip < DrainBound));
}

// scale-2 of cadeira-sul with seed 172771757498: the region's reader was cut
// off, and a VM that lived on its news refused requests of a new configuration
// 2.6 s after it was written; the bound is 2.5 s.
BOOST_AUTO_TEST_CASE(aConfigurationIsInForceInTimeWhenTheReaderIsCutOff) {
  constexpr base::Duration RoundTrip = std::chrono::milliseconds(200);
  constexpr base::Duration Gap = std::chrono::milliseconds(100);
  for (const int BoundMs : {1500, 2500, 3000, 5000}) {
    FleetBounds Bounds;
    Bounds.Propagation_ = std::chrono::milliseconds(BoundMs);
    const FollowPace Pace = trustedPace(Bounds);
    // The last news came with a fresh proof, and then the change was written.
    constexpr base::Duration None{};
    const base::Duration Silent = Pace.rest(None, None);
    BOOST_TEST_CONTEXT("bound of " << BoundMs << " ms") {
      BOOST_TEST((Silent + 2 * RoundTrip < Bounds.Propagation_));
      // In a calm day the next news comes before that.
      BOOST_TEST((Pace.Wait_ + Gap + RoundTrip < Pace.rest(Pace.Wait_, None)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
