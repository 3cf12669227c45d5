#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;

namespace {

// From this long after an upstream has named its time, requests count.
constexpr base::Duration Slack = 500ms;
// Requests that may reach it until the end of that time.
constexpr std::size_t Allowed = 2;

/// Records when requests reach the upstreams.
struct QuietFixture : RequestPathFixture {
  QuietFixture() {
    FirstUpstream_.setMayAnswer([this](const FakeRequest &) {
      FirstArrivals_.push_back(Clock_.now());
      return true;
    });
    SecondUpstream_.setMayAnswer([this](const FakeRequest &) {
      SecondArrivals_.push_back(Clock_.now());
      return true;
    });
  }

  static void refuse(FakeUpstream &Upstream, const std::string &RetryAfter) {
    Upstream.setBehaviour(FakeBehaviour::Shed);
    Upstream.setExtraFields("Retry-After: " + RetryAfter + "\r\n");
  }

  static void recover(FakeUpstream &Upstream) {
    Upstream.setBehaviour(FakeBehaviour::Answer);
    Upstream.setExtraFields("");
  }

  /// Sends a request each 50 ms for \p Span of the clock, and waits for the
  /// responses.
  asynckit::awaitable<void> callFor(base::Duration Span) {
    const base::TimePoint End = Clock_.now() + Span;
    while (Clock_.now() < End) {
      ++Pending_;
      boost::asio::co_spawn(Context_, callOnce(), boost::asio::detached);
      co_await step();
    }
    while (Pending_ > 0)
      co_await step();
  }

  asynckit::awaitable<void> callOnce() {
    const TestResponse Response = co_await call("/read/a", ++Object_);
    ++Statuses_[Response.result_int()];
    --Pending_;
  }

  /// Sets the clock ahead once what can be done now is done.
  asynckit::awaitable<void> step() {
    for (int I = 0; I < 3; ++I) {
      AsyncDispatcher_->poll();
      co_await pause(1ms);
    }
    Clock_.advance(50ms);
  }

  /// Returns the most requests that reached an upstream, which refused all of
  /// them, in the time that one of its refusals named.
  static std::size_t
  mostInQuietTime(const std::vector<base::TimePoint> &Refusals,
                  base::Duration Quiet) {
    std::size_t Most = 0;
    for (const base::TimePoint Refused : Refusals)
      Most = std::max(
          Most,
          static_cast<std::size_t>(std::count_if(
              Refusals.begin(), Refusals.end(), [=](base::TimePoint Arrival) {
                return Arrival > Refused + Slack && Arrival <= Refused + Quiet;
              })));
    return Most;
  }

  std::vector<base::TimePoint> FirstArrivals_;
  std::vector<base::TimePoint> SecondArrivals_;
  std::map<unsigned, int> Statuses_;
  int Object_ = 0;
  int Pending_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quietupstreamsendtest, QuietFixture)

// Incident quiet-upstream: once all upstreams were ejected, a VM sent to them
// though they had asked for no requests.
BOOST_AUTO_TEST_CASE(noRequestsReachUpstreamsInTheirQuietTime) {
  refuse(FirstUpstream_, "4");
  refuse(SecondUpstream_, "4");
  run(callFor(9s));
  BOOST_TEST(!FirstArrivals_.empty());
  BOOST_TEST(mostInQuietTime(FirstArrivals_, 4s) <= Allowed);
  BOOST_TEST(mostInQuietTime(SecondArrivals_, 4s) <= Allowed);
  BOOST_TEST(Statuses_[503] > 0);
}

// An ejection is shorter than the time that the upstream asks for.
BOOST_AUTO_TEST_CASE(quietTimeOutlastsEjection) {
  refuse(FirstUpstream_, "7.5");
  run(callFor(20s));
  BOOST_TEST(!FirstArrivals_.empty());
  BOOST_TEST(mostInQuietTime(FirstArrivals_, 7500ms) <= Allowed);
  BOOST_TEST(Statuses_[200] > 0);
  BOOST_TEST(Statuses_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(callersAreToldAtOnceWhenToReturn) {
  refuse(FirstUpstream_, "4");
  refuse(SecondUpstream_, "4");
  TestResponse Response;
  run([](QuietFixture &Fixture,
         TestResponse &Result) -> asynckit::awaitable<void> {
    co_await Fixture.callFor(300ms);
    Result = co_await Fixture.call("/read/a", 1);
  }(*this, Response));
  BOOST_TEST(Response.result_int() == 503U);
  BOOST_TEST(Response.body() == "upstream-quiet");
  // Callers wait at most a third of the time they have left.
  BOOST_TEST(std::stod(std::string(Response["Retry-After"])) > 0.5);
}

BOOST_AUTO_TEST_CASE(upstreamsAreUsedAgainAfterTheirQuietTime) {
  refuse(FirstUpstream_, "2");
  refuse(SecondUpstream_, "2");
  run([](QuietFixture &Fixture) -> asynckit::awaitable<void> {
    co_await Fixture.callFor(300ms);
    recover(Fixture.FirstUpstream_);
    recover(Fixture.SecondUpstream_);
    Fixture.Clock_.advance(6s);
    Fixture.Statuses_.clear();
    co_await Fixture.callFor(1s);
  }(*this));
  BOOST_TEST(Statuses_[200] > 0);
  BOOST_TEST(Statuses_.size() == 1U);
}

// A wrong value must not take an upstream away for long.
BOOST_AUTO_TEST_CASE(oddTimesAreIgnoredAndLongOnesCapped) {
  for (const char *Odd : {"0", "-1", "soon", "Wed, 21 Oct 2026 07:28:00 GMT",
                          "1e400", "4 s", "0x10"}) {
    QuietFixture Fixture;
    refuse(Fixture.FirstUpstream_, Odd);
    refuse(Fixture.SecondUpstream_, Odd);
    Fixture.run(Fixture.callFor(100ms));
    for (const auto &[Name, Upstream] : Fixture.State_->Upstreams_.all())
      BOOST_TEST(!Upstream->isQuiet(Fixture.Clock_.now()), Odd);
  }
  refuse(FirstUpstream_, "1e9");
  refuse(SecondUpstream_, "1e9");
  run(callFor(100ms));
  for (const auto &[Name, Upstream] : State_->Upstreams_.all()) {
    BOOST_TEST(Upstream->isQuiet(Clock_.now() + 50s));
    BOOST_TEST(!Upstream->isQuiet(Clock_.now() + 61s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
