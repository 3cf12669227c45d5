#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

using Response = TestResponse;

// Bytes without end that a VM may take from an upstream, with those that both
// sockets hold.
constexpr std::size_t MaxBytes = 16UL * 1024 * 1024;

std::string headerValue(const FakeRequest &Request, const char *Name) {
  return std::string(Request[Name]);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestpathtest, RequestPathFixture)

// Guards against a session that is destroyed before its coroutine starts, which
// broke the first request of a connection.
BOOST_AUTO_TEST_CASE(answersRequestsOfOneConnectionInOrder) {
  const auto Responses = sendRequests({"/read/a", "/read/b", "/none/"});
  BOOST_TEST_REQUIRE(Responses.size() == 3U);
  BOOST_TEST(Responses[0].result_int() == 200U);
  BOOST_TEST(Responses[0].body() == "whole answer");
  BOOST_TEST(std::string(Responses[1]["Id"]) == "q2");
  BOOST_TEST(Responses[2].result_int() == 404U);
}

// Incident inc1: a limit in an upstream's responses was relayed to callers and
// not kept.
BOOST_AUTO_TEST_CASE(namedLimitDivertsRequestsToOtherUpstream) {
  FirstUpstream_.setExtraFields("Rate: 0.5\r\n");
  SecondUpstream_.setExtraFields("Rate: 1000000\r\n");
  const std::vector<std::string> Targets(12, "/read/a");
  const auto Responses = sendRequests(Targets);
  BOOST_TEST_REQUIRE(Responses.size() == Targets.size());
  for (const Response &Answer : Responses)
    BOOST_TEST(Answer.result_int() == 200U);
  BOOST_TEST(FirstUpstream_.requests().size() <= 2U);
}

BOOST_AUTO_TEST_CASE(sendsUpstreamNameButNoKey) {
  sendRequests({"/read/a"});
  BOOST_TEST_REQUIRE(receivedRequests() == 1U);
  const bool IsFirst = !FirstUpstream_.requests().empty();
  const FakeRequest &Seen =
      (IsFirst ? FirstUpstream_ : SecondUpstream_).requests().front();
  BOOST_TEST(headerValue(Seen, "Expected") == (IsFirst ? "one" : "two"));
  BOOST_TEST(headerValue(Seen, "Authorization").empty());
  BOOST_TEST(std::stoi(headerValue(Seen, "Left")) <= 5000);
}

BOOST_AUTO_TEST_CASE(skipsStrayResponse) {
  FirstUpstream_.setBehaviour(FakeBehaviour::StrayResponseFirst);
  SecondUpstream_.setBehaviour(FakeBehaviour::StrayResponseFirst);
  const auto Responses = sendRequests({"/read/a"});
  BOOST_TEST(Responses.front().result_int() == 200U);
  BOOST_TEST(Responses.front().body() == "whole answer");
}

BOOST_AUTO_TEST_CASE(retriesLostResponseOnlyIfRouteAllows) {
  FirstUpstream_.setBehaviour(FakeBehaviour::CloseWithoutResponse);
  SecondUpstream_.setBehaviour(FakeBehaviour::CloseWithoutResponse);
  const auto Responses = sendRequests({"/write/a", "/read/a"});
  BOOST_TEST_REQUIRE(Responses.size() == 2U);
  BOOST_TEST(Responses[0].result_int() == 502U);
  BOOST_TEST(Responses[1].result_int() == 502U);
  // One request for the write, two for the read.
  BOOST_TEST(receivedRequests() == 3U);
}

BOOST_AUTO_TEST_CASE(replacesTruncatedResponse) {
  FirstUpstream_.setBehaviour(FakeBehaviour::TruncatedResponse);
  const auto Responses = sendRequests({"/read/a", "/read/b", "/read/c"});
  for (const Response &Answer : Responses)
    BOOST_TEST(Answer.body() == "whole answer");
}

BOOST_AUTO_TEST_CASE(sendsShedRequestToAnotherUpstream) {
  FirstUpstream_.setBehaviour(FakeBehaviour::Shed);
  BOOST_TEST(sendRequests({"/write/a"}).front().result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(refusesAsNotExecutedWhenAllUpstreamsShed) {
  FirstUpstream_.setBehaviour(FakeBehaviour::Shed);
  SecondUpstream_.setBehaviour(FakeBehaviour::Shed);
  const auto Responses = sendRequests({"/write/a"});
  BOOST_TEST(Responses.front().result_int() == 503U);
  BOOST_TEST(!std::string(Responses.front()["Retry-After"]).empty());
}

// Requests went again to an upstream whose address another one has taken: its
// refusal was taken for a lack of room.
BOOST_AUTO_TEST_CASE(leavesUpstreamWhoseAddressAnotherOneHas) {
  for (FakeUpstream RequestPathFixture::*Gone :
       {&RequestPathFixture::FirstUpstream_,
        &RequestPathFixture::SecondUpstream_}) {
    RequestPathFixture Path;
    (Path.*Gone).setBehaviour(FakeBehaviour::Misdirected);
    const std::vector<std::string> Targets(6, "/write/a");
    for (const Response &Answer : Path.sendRequests(Targets))
      BOOST_TEST(Answer.result_int() == 200U);
    BOOST_TEST((Path.*Gone).requests().size() <= 1U);
  }
}

// An upstream in trouble sends bytes that are no answer, without end. The
// attempt fails after a bounded number of them, and its connection is closed;
// another upstream serves what may be repeated.
BOOST_AUTO_TEST_CASE(leavesUpstreamThatSendsWithoutEnd) {
  for (const FakeBehaviour Behaviour :
       {FakeBehaviour::EndlessHead, FakeBehaviour::EndlessInterimResponses,
        FakeBehaviour::EndlessStrayBody,
        FakeBehaviour::EndlessChunkExtension}) {
    std::size_t Received = 0;
    for (FakeUpstream RequestPathFixture::*InTrouble :
         {&RequestPathFixture::FirstUpstream_,
          &RequestPathFixture::SecondUpstream_}) {
      RequestPathFixture Path;
      FakeUpstream &Upstream = Path.*InTrouble;
      Upstream.setBehaviour(Behaviour);
      const auto Reads = Path.sendRequests({"/read/a", "/read/b"});
      BOOST_TEST(Reads.size() == 2U);
      for (const Response &Answer : Reads)
        BOOST_TEST(Answer.result_int() == 200U);
      for (const auto &[Name, State] : Path.State_->Upstreams_.all())
        BOOST_TEST(State->InFlight_ == 0);
      Received += Upstream.requests().size();
      BOOST_TEST(Upstream.sentBytes() < MaxBytes);
    }
    // The object's first upstream is the one in trouble in one of both runs.
    BOOST_TEST(Received > 0U);
  }
}

// A connection that has been idle bounds what an upstream may send as a new one
// does.
BOOST_AUTO_TEST_CASE(leavesUpstreamThatSendsWithoutEndOnReusedConnection) {
  for (FakeUpstream *Upstream : {&FirstUpstream_, &SecondUpstream_})
    Upstream->setMayAnswer([Upstream](const FakeRequest &Request) {
      if (headerValue(Request, "Id") == "q2")
        Upstream->setBehaviour(FakeBehaviour::EndlessChunkExtension);
      return true;
    });
  const auto Responses = sendRequests({"/write/a", "/write/b"});
  BOOST_TEST_REQUIRE(Responses.size() == 2U);
  BOOST_TEST(Responses[1].result_int() == 502U);
  BOOST_TEST(FirstUpstream_.sentBytes() + SecondUpstream_.sentBytes() <
             MaxBytes);
}

// The upstream may have run such a request, so the caller is not told that it
// did not.
BOOST_AUTO_TEST_CASE(promisesNothingAfterBytesWithoutEnd) {
  FirstUpstream_.setBehaviour(FakeBehaviour::EndlessHead);
  SecondUpstream_.setBehaviour(FakeBehaviour::EndlessHead);
  const auto Responses = sendRequests({"/write/a"});
  BOOST_TEST(Responses.front().result_int() == 502U);
  BOOST_TEST(receivedRequests() == 1U);
}

// Guards against a request that is accepted 5 s after SIGTERM and cut off 0.3 s
// later, when the process exits.
BOOST_AUTO_TEST_CASE(refusesRequestsInLastPhaseOfStop) {
  State_->RefusesNewRequests_ = true;
  const auto Responses = sendRequests({"/write/a"});
  BOOST_TEST(Responses.front().result_int() == 503U);
  BOOST_TEST(receivedRequests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
