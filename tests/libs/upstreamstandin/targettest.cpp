#include "upstreamstandin/target.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::upstreamstandin;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Admission admit(const std::string &Id, const std::string &Method = "GET") {
    return Target_.admit({base::RequestId(Id), base::CustomerName("atlas"), "",
                          Method, std::nullopt},
                         Now_);
  }

  TargetSettings Settings_{.Name_ = "status-1",
                           .Address_ = "127.0.0.1",
                           .Slots_ = 2,
                           .ServiceTime_ = 10ms,
                           .ColdExtra_ = 100ms,
                           .ColdRuns_ = 4};
  base::TimePoint Now_{1h};
  Target Target_{Settings_, base::RandomEngine(3)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(targettest, Fixture)

BOOST_AUTO_TEST_CASE(refusesRequestsBeyondSlotLimit) {
  const Admission First = admit("1");
  BOOST_TEST((admit("2").Decision_ == AdmissionDecision::Running));
  BOOST_TEST((admit("3").Decision_ == AdmissionDecision::NoSlot));
  Now_ += 5ms;
  Target_.releaseSlot(*First.Run_, Now_);
  BOOST_TEST((admit("4").Decision_ == AdmissionDecision::Running));
  const TargetLedger Ledger = Target_.ledger();
  BOOST_TEST(Ledger.SlotViolations_ == 1U);
  BOOST_TEST(Ledger.MaxInFlight_ == 2);
  BOOST_TEST((Ledger.Busy_ == 5ms));
}

BOOST_AUTO_TEST_CASE(coldTargetWarmsUpOverFirstRuns) {
  BOOST_TEST((admit("1").Run_->serviceTime() >= 105ms));
  for (int Index = 0; Index < 3; ++Index) {
    const Admission Next = admit("next");
    Target_.releaseSlot(*Next.Run_, Now_);
  }
  BOOST_TEST((admit("warm").Run_->serviceTime() <= 15ms));
}

BOOST_AUTO_TEST_CASE(reportsLaggedAndFalseLoad) {
  TargetOrders Orders = Target_.orders();
  Orders.LagLoad_ = 50ms;
  Target_.setOrders(Orders);
  admit("1");
  Now_ += 49ms;
  BOOST_TEST(Target_.reportedLoad(Now_) == 0);
  Now_ += 1ms;
  BOOST_TEST(Target_.reportedLoad(Now_) == 1);
  Orders.LieLoad_ = 7;
  Target_.setOrders(Orders);
  BOOST_TEST(Target_.reportedLoad(Now_) == 7);
}

BOOST_AUTO_TEST_CASE(acquiresNoSlotWhenDrainingSheddingOrDown) {
  TargetOrders Orders = Target_.orders();
  Orders.ShedProbability_ = 1;
  Target_.setOrders(Orders);
  BOOST_TEST((admit("1").Decision_ == AdmissionDecision::Shed));
  Orders.Drain_ = true;
  Target_.setOrders(Orders);
  BOOST_TEST((admit("2").Decision_ == AdmissionDecision::Draining));
  Orders.Down_ = true;
  Target_.setOrders(Orders);
  BOOST_TEST((admit("3").Decision_ == AdmissionDecision::Down));
  BOOST_TEST(Target_.ledger().MaxInFlight_ == 0);
}

BOOST_AUTO_TEST_CASE(recordsOnlyNonIdempotentRunsInLedger) {
  const RunRequest PostRequest{base::RequestId("r"),
                               base::CustomerName("atlas"), "s.1", "POST",
                               std::nullopt};
  Target_.recordRun(PostRequest);
  Target_.recordRun(PostRequest);
  RunRequest GetRequest = PostRequest;
  GetRequest.Method_ = "GET";
  Target_.recordRun(GetRequest);
  const TargetLedger Ledger = Target_.ledger();
  BOOST_TEST_REQUIRE(Ledger.Runs_.size() == 1U);
  BOOST_TEST(Ledger.Runs_[0].Count_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()
