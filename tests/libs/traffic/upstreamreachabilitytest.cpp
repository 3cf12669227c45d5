#include "traffic/upstreamreachability.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

struct Fixture {
  UpstreamReachability Reachability_;

  static base::UpstreamName name(int Number) {
    return base::UpstreamName("u" + std::to_string(Number));
  }

  void failThree() {
    for (int I = 0; I < 3; ++I)
      Reachability_.recordFailure(name(I));
  }

  /// Runs a round of six probes. Returns whether the decision changed.
  bool probe(int Connected, int Refused, base::Duration Time) {
    Reachability_.beginProbe(at(Time));
    return Reachability_.finishProbe(
        {at(Time), Connected, Refused, 6 - Connected - Refused},
        at(Time + 250ms));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstreamreachabilitytest, Fixture)

BOOST_AUTO_TEST_CASE(failuresOfOneUpstreamRaiseNoSuspicion) {
  for (int I = 0; I < 10; ++I)
    Reachability_.recordFailure(name(1));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(0s)));
  failThree();
  BOOST_TEST(Reachability_.isProbeDue(16, at(0s)));
}

BOOST_AUTO_TEST_CASE(connectionEndsSuspicion) {
  Reachability_.recordFailure(name(1));
  Reachability_.recordFailure(name(2));
  Reachability_.recordConnection(at(1s));
  Reachability_.recordFailure(name(3));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(2s)));
}

BOOST_AUTO_TEST_CASE(silenceWithManyRequestsInFlightRaisesSuspicion) {
  Reachability_.recordResponse(at(1s));
  Reachability_.setInFlight(3, at(1s));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(3s)));
  Reachability_.setInFlight(9, at(3s));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(3300ms)));
  BOOST_TEST(Reachability_.isProbeDue(16, at(3400ms)));
  Reachability_.recordResponse(at(3450ms));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(3800ms)));
}

BOOST_AUTO_TEST_CASE(failedRoundShowsThatNoUpstreamIsReached) {
  failThree();
  BOOST_TEST(probe(0, 6, 1s));
  BOOST_TEST(!Reachability_.reachesUpstreams());
  BOOST_TEST(!Reachability_.hasConnectedSince(at(0s)));
}

// Upstreams of one zone failed; those of the others are reached.
BOOST_AUTO_TEST_CASE(oneConnectionOfRoundRefutesSuspicion) {
  failThree();
  BOOST_TEST(!probe(1, 0, 1s));
  BOOST_TEST(Reachability_.reachesUpstreams());
  BOOST_TEST(!Reachability_.isProbeDue(16, at(5s)));
}

// Responses on older connections may go on while new ones get no answer, and a
// starved VM may miss the time limit of a round.
BOOST_AUTO_TEST_CASE(responsesOutweighOneUnansweredRound) {
  failThree();
  Reachability_.recordResponse(at(1100ms));
  BOOST_TEST(!probe(0, 0, 1s));
  BOOST_TEST(Reachability_.isProbeDue(16, at(1300ms)));
  Reachability_.recordResponse(at(1400ms));
  BOOST_TEST(probe(0, 0, 1300ms));
  BOOST_TEST(!Reachability_.reachesUpstreams());
}

BOOST_AUTO_TEST_CASE(returnNeedsTwoGoodRounds) {
  failThree();
  probe(0, 6, 1s);
  BOOST_TEST(!Reachability_.isProbeDue(16, at(1300ms)));
  BOOST_TEST(Reachability_.isProbeDue(16, at(1400ms)));
  BOOST_TEST(!probe(6, 0, 2s));
  BOOST_TEST(!probe(1, 5, 3s));
  BOOST_TEST(!probe(4, 2, 4s));
  BOOST_TEST(probe(6, 0, 5s));
  BOOST_TEST(Reachability_.reachesUpstreams());
  BOOST_TEST(!Reachability_.isProbeDue(16, at(6s)));
}

BOOST_AUTO_TEST_CASE(roundOfLittleFleetCountsAllUpstreams) {
  Reachability_.recordFailure(name(1));
  BOOST_TEST(!Reachability_.isProbeDue(2, at(1s)));
  Reachability_.recordFailure(name(2));
  BOOST_TEST(Reachability_.isProbeDue(2, at(1s)));
  BOOST_TEST(!Reachability_.isProbeDue(0, at(1s)));
}

BOOST_AUTO_TEST_SUITE_END()
