#include "platformstandin/platformservice.h"
#include "base/steadyclock.h"
#include "standin/httplistener.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <boost/test/unit_test.hpp>

#include <iterator>

using namespace ebony;
using namespace ebony::platformstandin;
using Poco::Net::HTTPRequest;

namespace {

struct Server {
  std::string send(const std::string &Method, const std::string &Target,
                   const std::string &Body) {
    Poco::Net::HTTPClientSession Session("127.0.0.1", Listener_.port());
    HTTPRequest Request(Method, Target, HTTPRequest::HTTP_1_1);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    return std::string(std::istreambuf_iterator<char>(In), {});
  }

  base::SteadyClock Clock_;
  PlatformCore Core_{PlatformSettings{}, base::RandomEngine(1)};
  PlatformService Service_{Core_, Clock_};
  standin::HttpListener Listener_{Service_, "127.0.0.1", 0,
                                  base::Duration::zero()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platformservicetest, Server)

BOOST_AUTO_TEST_CASE(servesObjectsAndTransactionsOverHttp) {
  const std::string Bytes("a\0b", 3);
  send("PUT", "/v1/objects/configuration", Bytes);
  BOOST_TEST(send("GET", "/v1/objects/configuration", "") == Bytes);
  BOOST_TEST(send("POST", "/v1/table/transact", "{}") ==
             R"({"committed":true,"version":1})");
}

BOOST_AUTO_TEST_CASE(closesConnectionWhenAnswerIsLost) {
  send("POST", "/standin/orders", R"({"loseAnswerProbability":1})");
  BOOST_CHECK_THROW(send("POST", "/v1/table/transact", "{}"), Poco::Exception);
  send("POST", "/standin/orders", R"({"loseAnswerProbability":0})");
  BOOST_TEST(send("POST", "/v1/table/transact", "{}") ==
             R"({"committed":true,"version":2})");
}

// A client that encodes too little is told, even where its call can be guessed.
BOOST_AUTO_TEST_CASE(refusesUnencodedBytes) {
  for (const char *Key : {"a#b", "a%b", "a%2", "a\"b", "a<b", "a|b", "a\x7f",
                          "a\xc3\xa4", "a[b]", "a\\b", "a^b", "a`b", "a{b}"})
    BOOST_CHECK_THROW(
        standin::HttpCall("GET", std::string("/v1/table/row?key=") + Key, ""),
        Poco::SyntaxException);
  BOOST_TEST(send("GET", "/v1/table/row?key=a%b", "").find("unencoded") !=
             std::string::npos);
  const standin::HttpCall Call("GET", "/v1/table/row?key=a%26b%25%20%FF", "");
  BOOST_TEST(Call.query("key") == "a&b% \xff");
}

BOOST_AUTO_TEST_SUITE_END()
