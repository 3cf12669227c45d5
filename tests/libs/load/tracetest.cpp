#include "load/trace.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::load;
using namespace std::chrono_literals;

namespace {

Workload oneCustomer() {
  Workload Load;
  Load.Classes_ = {{"read", "status", "GET", "/t", 0, 1s, false},
                   {"affirm", "aff", "POST", "/a", 10, 1s, true}};
  Load.Customers_ = {{"atlas", 50, {"lisbon-a", "lisbon-b"}, {{0, 1}, {1, 1}}}};
  return Load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tracetest)

BOOST_AUTO_TEST_CASE(replayedTraceYieldsSameArrivals) {
  const Workload Load = oneCustomer();
  const auto Arrivals = planArrivals(Load, 10s);
  std::vector<RequestRecord> Records;
  for (const Arrival &Planned : Arrivals) {
    RequestRecord Record;
    Record.Customer_ = Planned.Customer_;
    Record.Class_ = Planned.Class_;
    Record.HomeZone_ = Planned.HomeZone_;
    Record.Intended_ = Planned.When_;
    Record.Attempts_ = {{"r", Outcome::Served, 200}};
    Records.push_back(Record);
  }
  const auto Replayed = parseTrace(traceText(Load, Records), "t", Load);
  BOOST_TEST_REQUIRE(Replayed.has_value());
  BOOST_TEST((Replayed.value() == Arrivals));
}

BOOST_AUTO_TEST_CASE(reportsEveryInvalidTraceLine) {
  const auto Bad = parseTrace(
      "nonsense\n"
      R"({"atMicroseconds":1,"customer":"hydra","class":"read","homeZone":"lisbon-a"})"
      "\n"
      R"({"atMicroseconds":1,"customer":"atlas","class":"write","homeZone":"porto-a"})"
      "\n",
      "t", oneCustomer());
  BOOST_TEST_REQUIRE(Bad.has_error());
  const std::string FindingsText = base::toText(Bad.error());
  for (const char *Location :
       {"t:1: $", "t:2: $.customer", "t:3: $.class", "t:3: $.homeZone"})
    BOOST_TEST(FindingsText.find(Location) != std::string::npos, Location);
}

BOOST_AUTO_TEST_SUITE_END()
