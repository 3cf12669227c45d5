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

  /// Sends a request each 50 ms for \p Span of the clock.
  asynckit::awaitable<void> callFor(base::Duration Span) {
    const base::TimePoint End = Clock_.now() + Span;
    while (Clock_.now() < End) {
      const TestResponse Response = co_await call("/read/a", ++Object_);
      ++Statuses_[Response.result_int()];
      Clock_.advance(50ms);
    }
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

BOOST_AUTO_TEST_SUITE_END()
