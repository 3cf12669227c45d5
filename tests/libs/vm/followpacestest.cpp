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
  BOOST_TEST((2 * OperatorPace.Wait_ + RoundTrip < Trusted));
  BOOST_TEST((2 * VmTablePace.Wait_ + RoundTrip < Trusted));
  BOOST_TEST((2 * OperatorPace.Wait_ + RoundTrip < CurrentAge));
}

BOOST_AUTO_TEST_SUITE_END()
