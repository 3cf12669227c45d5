#include "vm/exchangequeue.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace ebony::vm;

namespace {

using Queue = ExchangeQueue<std::string>;

std::shared_ptr<std::string> named(const char *Name) {
  return std::make_shared<std::string>(Name);
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchangequeuetest)

BOOST_AUTO_TEST_CASE(startsRepeatableRequestsUpToLimit) {
  Queue Requests(2);
  BOOST_TEST(Requests.push(named("a"), false));
  BOOST_TEST(Requests.hasRoom());
  BOOST_TEST(Requests.push(named("b"), false));
  BOOST_TEST(!Requests.hasRoom());
  BOOST_TEST(!Requests.pop());
  BOOST_TEST(Requests.hasRoom());
  BOOST_TEST(*Requests.front() == "b");
}

BOOST_AUTO_TEST_CASE(startsLoneRequestWhenItIsFirst) {
  Queue Requests(8);
  Requests.push(named("a"), false);
  Requests.push(named("b"), false);
  BOOST_TEST(!Requests.push(named("lone"), true));
  // Nothing may start behind it.
  BOOST_TEST(!Requests.hasRoom());
  BOOST_TEST(!Requests.pop());
  const auto Started = Requests.pop();
  BOOST_TEST_REQUIRE(Started);
  BOOST_TEST(*Started == "lone");
  BOOST_TEST(!Requests.hasRoom());
  BOOST_TEST(!Requests.pop());
  BOOST_TEST(Requests.hasRoom());
}

BOOST_AUTO_TEST_CASE(startsLoneRequestAtOnceOnIdleConnection) {
  Queue Requests(8);
  BOOST_TEST(Requests.push(named("lone"), true));
  BOOST_TEST(!Requests.hasRoom());
}

BOOST_AUTO_TEST_SUITE_END()
