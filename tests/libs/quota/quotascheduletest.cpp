#include "libs/quota/fleetschedule.h"

#include <boost/test/unit_test.hpp>

using ebony::quota::tests::FleetSchedule;

BOOST_AUTO_TEST_SUITE(quotascheduletest)

BOOST_AUTO_TEST_CASE(randomSchedulesNeverExceedLimitsOrCreateParts) {
  constexpr int Schedules = 10'000;
  constexpr int StepsPerSchedule = 500;
  std::int64_t Admitted = 0;
  std::int64_t Settlements = 0;
  std::int64_t Loans = 0;
  std::int64_t Transfers = 0;
  for (int Seed = 1; Seed <= Schedules; ++Seed) {
    FleetSchedule Schedule{std::uint64_t(Seed)};
    const std::string Violation = Schedule.run(StepsPerSchedule);
    BOOST_REQUIRE_MESSAGE(Violation.empty(),
                          "seed " << Seed << ": " << Violation);
    Admitted += Schedule.admitted();
    Settlements += Schedule.settlements();
    Loans += Schedule.loans();
    Transfers += Schedule.transfers();
  }
  BOOST_TEST_MESSAGE(Admitted << " admitted, " << Transfers << " transfers, "
                              << Loans << " loans, " << Settlements
                              << " settlements");
  // The schedules must exercise every mechanism to be meaningful.
  for (const std::int64_t Count : {Admitted, Settlements, Loans, Transfers})
    BOOST_TEST(Count > Schedules / 10);
}

BOOST_AUTO_TEST_SUITE_END()
