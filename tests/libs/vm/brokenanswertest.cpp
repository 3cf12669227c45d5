#include "libs/httpwire/brokenupstream.h"
#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;
using httpwire::BrokenAnswer;
using httpwire::Delivery;

namespace {

// Bytes without end that a VM may take from an upstream for one request, with
// those that both sockets hold.
constexpr std::size_t MaxEndlessBytes = 16UL << 20;

// Far below the deadline of the requests, which is 5 s.
constexpr base::Duration MaxTime = 3s;

/// A VM both of whose upstreams send the same broken answer.
struct Fixture : RequestPathFixture {
  httpwire::BrokenUpstream First_{Context_};
  httpwire::BrokenUpstream Second_{Context_};

  Fixture() {
    Rows_["upstreams"] = {{"one", std::to_string(First_.port()), 2, false},
                          {"two", std::to_string(Second_.port()), 3, false}};
  }

  int requests() const { return First_.requests() + Second_.requests(); }
  std::size_t endlessBytes() const {
    return First_.endlessBytes() + Second_.endlessBytes();
  }

  asynckit::awaitable<void> check(BrokenAnswer Answer) {
    First_.setAnswer(Answer);
    Second_.setAnswer(Answer);
    const int RequestsBefore = requests();
    const std::size_t BytesBefore = endlessBytes();
    const base::TimePoint Started = Clock_.now();
    const TestResponse Response = co_await call("/write/a", 7);
    BOOST_TEST((Clock_.now() - Started < MaxTime), Answer.Name_);
    // A request that must not be repeated is sent once, whatever comes back.
    BOOST_TEST(requests() - RequestsBefore == 1, Answer.Name_);
    if (Answer.Delivery_ == Delivery::Whole) {
      BOOST_TEST(Response.result_int() == 200U, Answer.Name_);
      BOOST_TEST(Response.body() == httpwire::WholeBody, Answer.Name_);
    } else {
      BOOST_TEST(Response.result_int() == 502U, Answer.Name_);
    }
    for (int I = 0; I < 100 && !(First_.isEnded() && Second_.isEnded()); ++I)
      co_await pause(10ms);
    BOOST_TEST(First_.isEnded(), Answer.Name_);
    BOOST_TEST(Second_.isEnded(), Answer.Name_);
    BOOST_TEST(endlessBytes() - BytesBefore < MaxEndlessBytes, Answer.Name_);
  }

  void checkAll(const std::vector<BrokenAnswer> &Answers) {
    run([&]() -> asynckit::awaitable<void> {
      for (const BrokenAnswer &Answer : Answers) {
        co_await check(Answer);
        // Each answer is judged as if the upstream had never failed before.
        Clock_.advance(60s);
      }
    }());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(brokenanswertest, Fixture)

BOOST_AUTO_TEST_CASE(wholeAnswersAreDelivered) {
  checkAll(httpwire::wholeAnswers());
}

// Issue 50: callers got an answer with the status 000, or what stood in the
// body of such an answer.
BOOST_AUTO_TEST_CASE(oddStatusIsNoAnswer) {
  checkAll(httpwire::answersWithOddStatus());
}

// Issue 50: callers got answers with such names of fields.
BOOST_AUTO_TEST_CASE(oddHeadIsNoAnswer) {
  checkAll(httpwire::answersWithOddHead());
}

BOOST_AUTO_TEST_CASE(cutAnswerIsNone) { checkAll(httpwire::cutAnswers()); }

// Issue 50: a machine that kept such bytes ran out of memory.
BOOST_AUTO_TEST_CASE(endlessAnswerIsNone) {
  checkAll(httpwire::endlessAnswers());
}

BOOST_AUTO_TEST_CASE(connectionWithBrokenAnswerIsNotUsedAgain) {
  std::vector<BrokenAnswer> Answers = httpwire::answersWithOddStatus();
  for (const BrokenAnswer &Answer : httpwire::answersWithOddHead())
    Answers.push_back(Answer);
  run([&]() -> asynckit::awaitable<void> {
    for (const BrokenAnswer &Answer : Answers) {
      First_.setAnswer(Answer);
      Second_.setAnswer(Answer);
      co_await call("/write/a", 7);
      Clock_.advance(60s);
    }
    BOOST_TEST(First_.usedConnections() == First_.requests());
    BOOST_TEST(Second_.usedConnections() == Second_.requests());
    BOOST_TEST(requests() == static_cast<int>(Answers.size()));
  }());
}

BOOST_AUTO_TEST_SUITE_END()
