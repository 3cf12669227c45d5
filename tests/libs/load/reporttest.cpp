#include "load/comparison.h"
#include "load/reportbuilder.h"
#include "load/reportjson.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::load;
using namespace std::chrono_literals;

namespace {

RequestRecord record(std::size_t Customer, base::Duration When,
                     Outcome Result) {
  RequestRecord Record;
  Record.Customer_ = Customer;
  Record.Intended_ = Record.Started_ = Record.Sent_ = When;
  Record.Answered_ = Record.Done_ = When + 10ms;
  Record.Outcome_ = Result;
  return Record;
}

struct Fixture {
  Fixture() {
    Fleet_.Customers_ = {{"atlas", 1, 2, "k"}, {"hydra", 10, 10, "k"}};
    Load_.Name_ = "w";
    Load_.Customers_ = {{"atlas", 1, {"a"}, {}}, {"hydra", 10, {"a"}, {}}};
  }

  Fleet Fleet_;
  Workload Load_;
  ReportBuilder Builder_{Fleet_, Load_, 10s};
  Ledger Before_;
  Ledger After_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reporttest, Fixture)

BOOST_AUTO_TEST_CASE(refusalsAreSplitByTokensLeft) {
  const Report Result = Builder_.build(
      {record(0, 0s, Outcome::Served), record(0, 0s, Outcome::NotRun),
       record(0, 0s, Outcome::NotRun), record(0, 1s, Outcome::NotRun),
       record(1, 1s, Outcome::Unknown)},
      Before_, After_);
  const CustomerReport &Atlas = Result.Customers_[0];
  BOOST_TEST(Atlas.Offered_ == 4);
  BOOST_TEST(Atlas.Served_ == 1);
  BOOST_TEST(Atlas.RefusedWithinRate_ == 2);
  BOOST_TEST(Atlas.RefusedOverRate_ == 1);
  BOOST_TEST(Atlas.Latency_.P99_ == 10);
  BOOST_TEST(Result.Customers_[1].Unknown_ == 1);
  BOOST_TEST(Result.WorstServed_ == "hydra");
  BOOST_TEST(Result.Total_.Offered_ == 5);
}

BOOST_AUTO_TEST_CASE(violationsAndHeadroomExcludeEarlierRuns) {
  Before_.SlotViolations_ = 3;
  Before_.Targets_ = {{"status-1", 2, 1, 5}};
  After_.SlotViolations_ = 4;
  After_.KeyLeaks_ = 2;
  After_.Targets_ = {{"status-1", 2, 2, 10}};
  const Report Result = Builder_.build(
      std::vector<RequestRecord>(5, record(0, 0s, Outcome::Served)), Before_,
      After_);
  BOOST_TEST(Result.Violations_.SlotOverruns_ == 1);
  BOOST_TEST(Result.Violations_.KeyLeaks_ == 2);
  BOOST_TEST(Result.Violations_.OverRate_ == 3);
  BOOST_TEST(Result.Violations_.total() == 6);
  BOOST_TEST(Result.Services_[0].Headroom_ == 0.75);
  BOOST_TEST(toText(Result).find("violations: 6\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(reportRoundTripsThroughJsonAndCompares) {
  const Report Result =
      Builder_.build({record(0, 0s, Outcome::Served)}, Before_, After_);
  const auto Parsed = parseReport(toJsonText(Result), "r");
  BOOST_TEST_REQUIRE(Parsed.has_value());
  BOOST_TEST((Parsed.value() == Result));
  BOOST_TEST(formatComparison(Result, Result).find("atlas served") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
