#include "httpwire/queryvalue.h"

#include <Poco/URI.h>
#include <boost/test/unit_test.hpp>

using namespace ebony;

BOOST_AUTO_TEST_SUITE(queryvaluetest)

BOOST_AUTO_TEST_CASE(everyByteSurvivesTheQuery) {
  std::string AllBytes;
  for (int Byte = 0; Byte < 256; ++Byte) {
    const std::string One(1, static_cast<char>(Byte));
    AllBytes += One;
    const Poco::URI Target("/rows?from=" + httpwire::encodeQueryValue(One) +
                           "&limit=3");
    const Poco::URI::QueryParameters Parameters = Target.getQueryParameters();
    BOOST_TEST_REQUIRE(Parameters.size() == 2U, Byte);
    BOOST_TEST(Parameters[0].second == One, Byte);
    BOOST_TEST(Parameters[1].second == "3", Byte);
  }
  std::string Decoded;
  Poco::URI::decode(httpwire::encodeQueryValue(AllBytes), Decoded);
  BOOST_TEST((Decoded == AllBytes));
}

BOOST_AUTO_TEST_CASE(onlyUnreservedCharactersStayAsTheyAre) {
  const std::string Unreserved = "azAZ09-._~";
  BOOST_TEST(httpwire::encodeQueryValue(Unreserved) == Unreserved);
  const std::string Encoded = httpwire::encodeQueryValue("r&d+a#b%c d/\xff");
  BOOST_TEST(Encoded == "r%26d%2Ba%23b%25c%20d%2F%FF");
}

BOOST_AUTO_TEST_SUITE_END()
