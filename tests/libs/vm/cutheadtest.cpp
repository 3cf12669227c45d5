#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

constexpr unsigned FirstServerError = 500;

std::string headFor(const FakeRequest &Request) {
  return "HTTP/1.1 200 OK\r\nId: " + std::string(Request["Id"]) +
         "\r\nStamp: s\r\nContent-Length: 12\r\n\r\n";
}

/// Both upstreams stop after a number of bytes of the head and close; the
/// number grows with each request.
struct Fixture : RequestPathFixture {
  std::size_t HeadBytes_ = 0;
  bool IsWhole_ = false;

  Fixture() {
    for (FakeUpstream *Upstream : {&FirstUpstream_, &SecondUpstream_})
      Upstream->setRawResponse(
          [this](const FakeRequest &Request, int) {
            const std::string Head = headFor(Request);
            if (++HeadBytes_ >= Head.size())
              IsWhole_ = true;
            return IsWhole_ ? Head + "whole answer"
                            : Head.substr(0, HeadBytes_);
          },
          true);
  }

  void checkAnswers(const std::string &Target) {
    constexpr std::size_t Calls = 40;
    const std::vector<TestResponse> Responses =
        sendRequests(std::vector<std::string>(Calls, Target));
    BOOST_TEST(Responses.size() == Calls);
    BOOST_TEST(HeadBytes_ > Calls / 2);
    for (const TestResponse &Response : Responses) {
      if (Response.result_int() == 200U)
        BOOST_TEST(Response.body() == "whole answer");
      else
        BOOST_TEST(Response.result_int() >= FirstServerError);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cutheadtest, Fixture)

// An upstream that closes in the middle of its head must not look like one that
// has answered.
BOOST_AUTO_TEST_CASE(cutHeadIsNoAnswerToRead) { checkAnswers("/read/a"); }

BOOST_AUTO_TEST_CASE(cutHeadIsNoAnswerToWrite) { checkAnswers("/write/a"); }

BOOST_AUTO_TEST_SUITE_END()
