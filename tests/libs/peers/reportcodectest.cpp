#include "peers/reportcodec.h"
#include "base/randomengine.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::peers;

namespace {

traffic::MemberReport report() {
  traffic::MemberReport Report;
  Report.Name_ = "vm1";
  Report.Incarnation_ = 1234567890123;
  Report.CallerAddress_ = "10.0.0.1:80";
  Report.Zone_ = base::ZoneName("east-a");
  Report.Region_ = base::RegionName("east");
  Report.IsReady_ = true;
  Report.IsCurrent_ = true;
  Report.QuotaPlan_ = 9;
  Report.CorePermille_ = 200;
  Report.InFlight_[base::UpstreamName("u1")] = 3;
  Report.Demand_[base::CustomerName("atlas")] = 12.5;
  return Report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(reportcodectest)

BOOST_AUTO_TEST_CASE(aReportIsReadBackAsItWasSent) {
  const auto Read = decodeReport(encodeReport(report()));
  BOOST_TEST_REQUIRE(Read.has_value());
  BOOST_TEST((*Read == report()));
}

// Damaged datagrams are refused or read as some report; nothing else happens.
BOOST_AUTO_TEST_CASE(damagedDatagramsDoNoHarm) {
  const std::string Whole = encodeReport(report());
  base::RandomEngine Random(42);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Whole.substr(0, Random.below(Whole.size() + 1));
    for (int I = 0; I < 3 && !Bytes.empty(); ++I)
      Bytes[Random.below(Bytes.size())] = static_cast<char>(Random.below(256));
    const auto Read = decodeReport(Bytes);
    if (Read)
      BOOST_TEST(!Read->Name_.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
