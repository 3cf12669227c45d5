#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

// Time after an answer with the notice from which no new request may reach the
// upstream.
constexpr base::Duration AfterDrain = std::chrono::milliseconds(2600);

/// The store never tells that the first upstream leaves.
struct LeavingFixture : RequestPathFixture {
  /// Has requests for many objects answered, first some and then, later than
  /// the drain time, others. Returns how many of the others reached the first
  /// upstream.
  std::size_t countLateArrivals() {
    std::size_t Late = 0;
    run([](LeavingFixture &Fixture,
           std::size_t &Count) -> asynckit::awaitable<void> {
      co_await Fixture.callObjects(0, 20);
      BOOST_TEST(!Fixture.FirstUpstream_.requests().empty());
      Fixture.Clock_.advance(AfterDrain);
      const std::size_t Before = Fixture.FirstUpstream_.requests().size();
      co_await Fixture.callObjects(20, 60);
      Count = Fixture.FirstUpstream_.requests().size() - Before;
    }(*this, Late));
    return Late;
  }

  /// Has the first upstream say in its first response, and in no other, that it
  /// leaves.
  void refuseOnce(FakeBehaviour Refusal) {
    FirstUpstream_.setBehaviour(Refusal);
    FirstUpstream_.setExtraFields("Leaving: 1\r\n");
    FirstUpstream_.setMayAnswer([this](const FakeRequest &) {
      if (FirstUpstream_.requests().size() > 1) {
        FirstUpstream_.setBehaviour(FakeBehaviour::Answer);
        FirstUpstream_.setExtraFields("");
      }
      return true;
    });
  }

  std::size_t usableCount() const {
    return State_->Upstreams_.usable(base::ServiceName("s")).size();
  }

  /// Records that both upstreams leave as soon as a request is placed.
  asynckit::awaitable<void> recordLeavingOnPlacement() {
    for (;;) {
      for (const auto &[Name, Upstream] : State_->Upstreams_.all())
        if (Upstream->InFlight_ > 0) {
          for (const auto &[Other, Leaving] : State_->Upstreams_.all())
            State_->Upstreams_.recordLeaving(*Leaving);
          co_return;
        }
      co_await boost::asio::post(Context_, boost::asio::use_awaitable);
    }
  }

  asynckit::awaitable<void> callObjects(int From, int To) {
    for (int Object = From; Object < To; ++Object) {
      const TestResponse Response = co_await call("/read/a", Object);
      BOOST_TEST(Response.result_int() == 200U);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(leavingupstreamsendtest, LeavingFixture)

// Incident leaving-upstream: a VM without news of the store went on sending to
// an upstream whose answers said that it leaves.
BOOST_AUTO_TEST_CASE(noRequestFollowsAnAnswerThatSaysSo) {
  FirstUpstream_.setExtraFields("Leaving: 1\r\n");
  BOOST_TEST(countLateArrivals() == 0U);
}

BOOST_AUTO_TEST_CASE(refusalsSaySoAsWell) {
  refuseOnce(FakeBehaviour::Shed);
  BOOST_TEST(countLateArrivals() == 0U);
  BOOST_TEST(usableCount() == 1U);
}

// Another upstream answers at the address.
BOOST_AUTO_TEST_CASE(misdirectedResponseSaysNothingAboutTheUpstream) {
  refuseOnce(FakeBehaviour::Misdirected);
  countLateArrivals();
  BOOST_TEST(usableCount() == 2U);
}

BOOST_AUTO_TEST_CASE(otherValuesSayNothing) {
  FirstUpstream_.setExtraFields("Leaving: 0\r\n");
  BOOST_TEST(countLateArrivals() > 0U);
}

// The notice arrives while the connection for a request is opened.
BOOST_AUTO_TEST_CASE(requestIsWithheldWhenItsConnectionOpensTooLate) {
  unsigned Status = 0;
  run([](LeavingFixture &Fixture,
         unsigned &Result) -> asynckit::awaitable<void> {
    boost::asio::co_spawn(Fixture.Context_, Fixture.recordLeavingOnPlacement(),
                          boost::asio::detached);
    Result = (co_await Fixture.call("/read/a", 1)).result_int();
  }(*this, Status));
  BOOST_TEST(Status == 503U);
  BOOST_TEST(receivedRequests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
