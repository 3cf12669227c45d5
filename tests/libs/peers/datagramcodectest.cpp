#include "peers/datagramcodec.h"
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
  Report.ReachesNoUpstream_ = true;
  Report.QuotaPlanVersion_ = 9;
  Report.CorePermille_ = 200;
  Report.InFlight_[traffic::tagOf("u1")] = 3;
  Report.Demand_[traffic::tagOf("atlas")] = 12.5;
  Report.Limits_[traffic::tagOf("u1")] = {6.1, std::chrono::milliseconds(40),
                                          std::chrono::milliseconds(3)};
  Report.Limits_[traffic::tagOf("u2")] = {0.5, std::chrono::seconds(2), {}};
  Report.Crashes_ = {{{traffic::tagOf("u3"), 0xfedcba9876543210U,
                       std::chrono::seconds(1), std::chrono::milliseconds(90)}},
                     {{0xfedcba9876543210U, std::chrono::seconds(3)}},
                     {{7, std::chrono::seconds(4)}}};
  Report.Sent_ = base::TimePoint(std::chrono::seconds(9));
  Report.Evacuations_ = {77, {base::ZoneName("east-b")}};
  Report.Cold_[traffic::tagOf("u4")] = std::chrono::milliseconds(2900);
  Report.StoreNewsAge_ = std::chrono::milliseconds(600);
  return Report;
}

TableNews news() {
  TableNews News;
  News.Table_ = "servers";
  News.After_ = 7;
  News.Changes_.Rows_ = {{"u1", std::string("a\0b", 3), 8, false},
                         {"u2", "", 9, true}};
  News.Changes_.Version_ = 9;
  News.Proof_ = {5, base::TimePoint(std::chrono::seconds(3)),
                 std::chrono::milliseconds(20)};
  News.SinceReturn_ = std::chrono::milliseconds(400);
  return News;
}

} // namespace

BOOST_AUTO_TEST_SUITE(datagramcodectest)

BOOST_AUTO_TEST_CASE(reportSurvivesRoundTrip) {
  const Datagram Read = decode(encode(report()));
  const auto *Report = std::get_if<traffic::MemberReport>(&Read);
  BOOST_TEST_REQUIRE(Report != nullptr);
  BOOST_TEST((*Report == report()));
}

BOOST_AUTO_TEST_CASE(newsSurvivesRoundTrip) {
  const Datagram Read = decode(encode(news()));
  const auto *News = std::get_if<TableNews>(&Read);
  BOOST_TEST_REQUIRE(News != nullptr);
  BOOST_TEST((*News == news()));
}

// A damaged datagram is either rejected or decoded to some valid message; it
// never causes a crash.
BOOST_AUTO_TEST_CASE(decodesOrRejectsDamagedDatagrams) {
  base::RandomEngine Random(42);
  for (const std::string &Encoded : {encode(report()), encode(news())}) {
    for (int Round = 0; Round < 20000; ++Round) {
      std::string Bytes = Encoded.substr(0, Random.below(Encoded.size() + 1));
      for (int I = 0; I < 3 && !Bytes.empty(); ++I)
        Bytes[Random.below(Bytes.size())] =
            static_cast<char>(Random.below(256));
      const Datagram Read = decode(Bytes);
      if (const auto *Report = std::get_if<traffic::MemberReport>(&Read))
        BOOST_TEST(!Report->Name_.empty());
      if (const auto *News = std::get_if<TableNews>(&Read))
        BOOST_TEST(!News->Table_.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
