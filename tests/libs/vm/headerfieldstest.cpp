#include "vm/headerfields.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::vm;

BOOST_AUTO_TEST_SUITE(headerfieldstest)

BOOST_AUTO_TEST_CASE(aCookieIsFoundAmongOthers) {
  Fields Head;
  Head.insert("Cookie", "a=1; Object=17 ; b=2");
  BOOST_TEST(cookieOf(Head, "Object") == "17");
  BOOST_TEST(cookieOf(Head, "c").empty());
}

BOOST_AUTO_TEST_CASE(fieldsOfOneConnectionAreNotPassedOn) {
  BOOST_TEST(isHopField("keep-alive", ""));
  BOOST_TEST(isHopField("X-Own", "close, x-own"));
  BOOST_TEST(!isHopField("X-Own", "close"));
}

BOOST_AUTO_TEST_CASE(onlyWholeNumbersAreRead) {
  BOOST_TEST(wholeNumber("1500").value() == 1500);
  BOOST_TEST(!wholeNumber("-5"));
  BOOST_TEST(!wholeNumber("5s"));
  BOOST_TEST(!wholeNumber(""));
  BOOST_TEST(!wholeNumber("99999999999999999999"));
}

BOOST_AUTO_TEST_SUITE_END()
