#include "idempotency/answermatcher.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using idempotency::AnswerMatcher;
using MatchState = AnswerMatcher::MatchState;

BOOST_AUTO_TEST_SUITE(answermatchertest)

BOOST_AUTO_TEST_CASE(answerIsCompleteWithItsLastByte) {
  AnswerMatcher Matcher(base::RequestId("a"));
  BOOST_CHECK(Matcher.receiveHead(base::RequestId("a"), 5) ==
              MatchState::Incomplete);
  BOOST_CHECK(Matcher.receiveBody(4) == MatchState::Incomplete);
  BOOST_TEST(!Matcher.isReusable());
  BOOST_CHECK(Matcher.receiveBody(1) == MatchState::Complete);
  BOOST_TEST(Matcher.isReusable());
}

BOOST_AUTO_TEST_CASE(reportsMismatchForForeignAndExcessData) {
  AnswerMatcher Crossed(base::RequestId("a"));
  BOOST_CHECK(Crossed.receiveHead(base::RequestId("b"), 0) ==
              MatchState::Mismatch);
  BOOST_CHECK(Crossed.recordClosed() == MatchState::Mismatch);
  AnswerMatcher Longer(base::RequestId("a"));
  Longer.receiveHead(base::RequestId("a"), 2);
  BOOST_CHECK(Longer.receiveBody(3) == MatchState::Mismatch);
  AnswerMatcher Second(base::RequestId("a"));
  BOOST_CHECK(Second.receiveHead(base::RequestId("a"), 0) ==
              MatchState::Complete);
  BOOST_CHECK(Second.receiveHead(base::RequestId("a"), 0) ==
              MatchState::Mismatch);
  BOOST_TEST(!Second.isReusable());
}

BOOST_AUTO_TEST_CASE(truncatedAnswersAreNeverComplete) {
  AnswerMatcher Headless(base::RequestId("a"));
  BOOST_CHECK(Headless.recordClosed() == MatchState::Truncated);
  AnswerMatcher Chunked(base::RequestId("a"));
  Chunked.receiveHead(base::RequestId("a"), std::nullopt);
  BOOST_CHECK(Chunked.receiveBody(100) == MatchState::Incomplete);
  BOOST_CHECK(Chunked.recordClosed() == MatchState::Truncated);
  BOOST_CHECK(Chunked.receiveBodyEnd() == MatchState::Mismatch);
}

BOOST_AUTO_TEST_SUITE_END()
