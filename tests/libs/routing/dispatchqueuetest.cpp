#include "routing/dispatchqueue.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::routing;
using namespace std::chrono_literals;

namespace {

const base::TimePoint Start(base::Duration(1h));

WaitingRequest request(Ticket Number, const char *Customer) {
  return {Number, base::CustomerName(Customer), 1, Start + 1s};
}

DispatchQueue queueWithSlots(std::int64_t Slots) {
  TargetPool Pool({}, base::RandomEngine(5));
  Pool.update({{base::UpstreamName("a"), Slots, false}}, Start - 1h);
  return {std::move(Pool), 100};
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatchqueuetest)

BOOST_AUTO_TEST_CASE(grantsSlotsToCustomersRoundRobin) {
  DispatchQueue Queue = queueWithSlots(4);
  for (Ticket Number = 0; Number < 50; ++Number)
    Queue.enqueue(request(Number, "heavy"));
  Queue.enqueue(request(100, "light"));
  const auto Grants = Queue.grantSlots(Start);
  BOOST_TEST_REQUIRE(Grants.size() == 4U);
  BOOST_TEST(Grants[1].Ticket_ == 100U);
}

BOOST_AUTO_TEST_CASE(grantsNoSlotAfterDeadline) {
  DispatchQueue Queue = queueWithSlots(1);
  Queue.enqueue(request(1, "a"));
  BOOST_TEST(Queue.grantSlots(Start + 1s).empty());
  BOOST_TEST(Queue.waitingCount() == 0U);
  BOOST_TEST(!Queue.cancel(1, base::CustomerName("a")));
}

BOOST_AUTO_TEST_SUITE_END()
