#include "routing/targetpool.h"
#include "routing/slotdivision.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::routing;
using namespace std::chrono_literals;

namespace {

const base::TimePoint Start(base::Duration(1h));

TargetPool poolAfterSlowStart(const std::vector<TargetShare> &Shares) {
  TargetPool Pool({}, base::RandomEngine(5));
  Pool.update(Shares, Start - 1h);
  return Pool;
}

TargetShare share(const char *Name, std::int64_t Slots) {
  return {base::UpstreamName(Name), Slots, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(targetpooltest)

BOOST_AUTO_TEST_CASE(dividedSlotsAddUpToTotal) {
  for (std::int64_t Slots = 0; Slots < 20; ++Slots)
    for (std::size_t Vms = 1; Vms < 8; ++Vms) {
      std::int64_t Sum = 0;
      for (std::size_t Rank = 0; Rank < Vms; ++Rank)
        Sum += divideSlots(base::UpstreamName("t"), Slots, Rank, Vms);
      BOOST_TEST(Sum == Slots);
    }
}

BOOST_AUTO_TEST_CASE(neverExceedsOwnSlots) {
  TargetPool Pool = poolAfterSlowStart({share("a", 3), share("b", 2)});
  for (int Request = 0; Request < 5; ++Request)
    BOOST_TEST(Pool.acquire(Start).has_value());
  BOOST_TEST(!Pool.acquire(Start).has_value());
  BOOST_TEST(Pool.inFlight(base::UpstreamName("a")) == 3);
  BOOST_TEST(Pool.inFlight(base::UpstreamName("b")) == 2);
}

BOOST_AUTO_TEST_CASE(falseLoadReportsDoNotOverrideRequestsInFlight) {
  TargetPool Pool =
      poolAfterSlowStart({share("idle", 100), share("busy", 100)});
  Pool.release(base::UpstreamName("idle"), AttemptResult::Answered, 1000,
               Start);
  Pool.release(base::UpstreamName("busy"), AttemptResult::Answered, 0, Start);
  for (int Request = 0; Request < 100; ++Request)
    Pool.acquire(Start);
  BOOST_TEST(Pool.inFlight(base::UpstreamName("idle")) >= 49);
}

BOOST_AUTO_TEST_CASE(drainedTargetGetsNoNewRequests) {
  TargetPool Pool = poolAfterSlowStart({share("a", 3)});
  BOOST_TEST(Pool.acquire(Start).has_value());
  Pool.update({{base::UpstreamName("a"), 3, true}}, Start);
  BOOST_TEST(!Pool.acquire(Start).has_value());
  BOOST_TEST(!Pool.hasUsableTarget(Start));
  BOOST_TEST(Pool.inFlight(base::UpstreamName("a")) == 1);
}

BOOST_AUTO_TEST_CASE(countsRequestsOfRemovedTargetUntilTheyEnd) {
  TargetPool Pool = poolAfterSlowStart({share("a", 3)});
  Pool.acquire(Start);
  Pool.update({}, Start);
  BOOST_TEST(Pool.slotsInUse() == 1);
  Pool.update({share("a", 3)}, Start);
  BOOST_TEST(Pool.slotsInUse() == 1);
}

BOOST_AUTO_TEST_CASE(ejectsAfterFailuresAndReturnsWithSlowStart) {
  TargetPool Pool = poolAfterSlowStart({share("a", 9)});
  for (int Attempt = 0; Attempt < 3; ++Attempt) {
    BOOST_TEST_REQUIRE(Pool.acquire(Start).has_value());
    Pool.release(base::UpstreamName("a"), AttemptResult::Unreachable,
                 std::nullopt, Start);
  }
  BOOST_TEST(!Pool.acquire(Start).has_value());
  const base::TimePoint EjectionEnd = Start + 1s;
  BOOST_TEST(Pool.acquire(EjectionEnd).has_value());
  BOOST_TEST(!Pool.acquire(EjectionEnd).has_value());
  Pool.release(base::UpstreamName("a"), AttemptResult::Unreachable,
               std::nullopt, EjectionEnd);
  BOOST_TEST(!Pool.acquire(EjectionEnd + 1900ms).has_value());
  BOOST_TEST(Pool.acquire(EjectionEnd + 2s).has_value());
}

BOOST_AUTO_TEST_CASE(sheddingDoesNotEject) {
  TargetPool Pool = poolAfterSlowStart({share("a", 1)});
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    BOOST_TEST_REQUIRE(Pool.acquire(Start).has_value());
    Pool.release(base::UpstreamName("a"), AttemptResult::Shed, std::nullopt,
                 Start);
  }
}

BOOST_AUTO_TEST_SUITE_END()
