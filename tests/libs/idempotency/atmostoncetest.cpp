#include "libs/idempotency/fleetfake.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::tests;

namespace {

constexpr std::uint64_t Schedules = 3000;

Tally runAll(const Faults &Rates, std::uint64_t Count) {
  Tally Sum;
  for (std::uint64_t Seed = 1; Seed <= Count; ++Seed) {
    const Tally Counts = FleetFake(Seed, Rates).run();
    Sum += Counts;
    BOOST_TEST(Counts.RunTwice_ == 0, "ran twice, seed " << Seed);
    BOOST_TEST(Counts.FalseNotRun_ == 0, "false not-run, seed " << Seed);
    BOOST_TEST(Counts.WrongAnswers_ == 0, "wrong answer, seed " << Seed);
  }
  BOOST_TEST_MESSAGE("operations " << Sum.Operations_ << ", complete "
                                   << Sum.Complete_ << ", not run "
                                   << Sum.NotRun_ << ", unknown "
                                   << Sum.Unknown_);
  return Sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(atmostoncetest)

BOOST_AUTO_TEST_CASE(neverRunsTwiceUnderCombinedFaults) {
  const Tally Sum = runAll(Faults(), Schedules);
  BOOST_TEST(Sum.Complete_ > Sum.Operations_ / 2);
  BOOST_TEST(Sum.NotRun_ > 0);
}

BOOST_AUTO_TEST_CASE(everyOperationCompletesWithoutFaults) {
  const Tally Sum = runAll({0, 0, 0, 0, false, false}, 100);
  BOOST_TEST(Sum.Complete_ == Sum.Operations_);
}

BOOST_AUTO_TEST_CASE(plannedStopsLeaveNoOutcomeUnknown) {
  Tally Sum;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed)
    Sum += FleetFake(Seed, {0, 0, 0, 0, true, false}).run();
  BOOST_TEST(Sum.Operations_ > 0);
  BOOST_TEST(Sum.RunTwice_ + Sum.FalseNotRun_ + Sum.WrongAnswers_ == 0);
  BOOST_TEST(Sum.Unknown_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()
