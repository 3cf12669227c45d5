#include "routing/fairqueue.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::routing;
using namespace std::chrono_literals;

namespace {

WaitingRequest request(Ticket Number, const char *Customer,
                       std::int64_t Weight = 1) {
  return {Number, base::CustomerName(Customer), Weight,
          base::TimePoint(base::Duration(1s))};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fairqueuetest)

BOOST_AUTO_TEST_CASE(heavyCustomerDoesNotDelayLightCustomer) {
  FairQueue Queue(1000);
  for (Ticket Number = 0; Number < 500; ++Number)
    BOOST_TEST_REQUIRE(Queue.push(request(Number, "heavy")));
  BOOST_TEST_REQUIRE(Queue.push(request(1000, "light")));
  int Turns = 0;
  while (Queue.pop()->Ticket_ != 1000)
    ++Turns;
  BOOST_TEST(Turns <= 1);
}

BOOST_AUTO_TEST_CASE(popsCustomersInProportionToWeight) {
  FairQueue Queue(1000);
  for (Ticket Number = 0; Number < 300; ++Number) {
    Queue.push(request(Number, "three", 3));
    Queue.push(request(1000 + Number, "one", 1));
  }
  int Three = 0;
  for (int Turn = 0; Turn < 200; ++Turn)
    Three += Queue.pop()->Ticket_ < 1000 ? 1 : 0;
  BOOST_TEST(Three == 150);
}

BOOST_AUTO_TEST_CASE(limitsWaitingRequestsPerCustomer) {
  FairQueue Queue(2);
  BOOST_TEST(Queue.push(request(1, "a")));
  BOOST_TEST(Queue.push(request(2, "a")));
  BOOST_TEST(!Queue.push(request(3, "a")));
  BOOST_TEST(Queue.push(request(4, "b")));
}

BOOST_AUTO_TEST_CASE(removesExpiredAndCancelledRequests) {
  FairQueue Queue(10);
  Queue.push(request(1, "a"));
  Queue.push(request(2, "a"));
  BOOST_TEST(Queue.remove(1, base::CustomerName("a")));
  BOOST_TEST(!Queue.remove(1, base::CustomerName("a")));
  BOOST_TEST(Queue.removeExpired(base::TimePoint(999ms)).empty());
  BOOST_TEST(Queue.removeExpired(base::TimePoint(1s)).size() == 1U);
  BOOST_TEST(Queue.isEmpty());
  BOOST_TEST(!Queue.pop().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
