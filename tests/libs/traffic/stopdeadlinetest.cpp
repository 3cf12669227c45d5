#include "libs/traffic/fixtures.h"
#include "traffic/dispatcher.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

/// A VM with one upstream of one slot, whose process is to end.
struct StopFixture {
  StopFixture() { Table_.put(upstream("u1", "east-a", 1), at(0s)); }

  std::unique_ptr<Job> make(JobId Id, RetryPolicy Policy) const {
    auto Request = job(Id, at(0s));
    Request->RetryPolicy_ = Policy;
    Request->ObjectiveDeadline_ = at(8s);
    Request->Deadline_ = at(10s);
    return Request;
  }

  Placement decide(RetryPolicy Policy, base::Duration LeftUntilStop) {
    Dispatcher_.setStopDeadline(at(LeftUntilStop));
    auto Request = make(++LastId_, Policy);
    return Dispatcher_.submit(Request, at(0s));
  }

  base::Duration expected() {
    return decide(RetryPolicy::Idempotent, 1h).PredictedLatency_;
  }

  UpstreamTable Table_ = table();
  ColdUpstreamLimiter ColdLimiter_{"vm", 0.8};
  UpstreamRateLimiter RateLimiter_{"vm", base::RegionName("east")};
  Dispatcher Dispatcher_{Table_,
                         PlacementOrder(base::RegionName("east"), 3),
                         ColdLimiter_,
                         RateLimiter_,
                         DispatcherSettings(),
                         base::RandomEngine(1)};
  JobId LastId_ = 0;
};

void checkRefused(const Placement &Decision) {
  BOOST_TEST((Decision.Action_ == PlacementAction::Refuse));
  BOOST_TEST(Decision.Reason_ == "stopping");
  // Another VM serves the caller.
  BOOST_TEST((Decision.RetryAfter_ <= 50ms));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(stopdeadlinetest, StopFixture)

// Incident stop-cuts-requests: requests that were taken late in the grace
// period were cut at its end.
BOOST_AUTO_TEST_CASE(requestThatCannotEndBeforeTheProcessIsRefused) {
  const base::Duration Expected = expected();
  checkRefused(decide(RetryPolicy::Idempotent, Expected));
  checkRefused(decide(RetryPolicy::Idempotent, -1ms));
  const Placement InTime = decide(RetryPolicy::Idempotent, 2 * Expected);
  BOOST_TEST((InTime.Action_ == PlacementAction::Send));
}

// If it takes longer than expected, its caller can't know whether it ran.
BOOST_AUTO_TEST_CASE(requestThatMustNotBeRepeatedNeedsMoreTime) {
  const base::Duration Expected = expected();
  checkRefused(decide(RetryPolicy::AtMostOnce, 2 * Expected));
  checkRefused(decide(RetryPolicy::AtMostOnce, 3 * Expected - 10ms));
  const Placement InTime = decide(RetryPolicy::AtMostOnce, 3 * Expected + 10ms);
  BOOST_TEST((InTime.Action_ == PlacementAction::Send));
}

BOOST_AUTO_TEST_CASE(waitingRequestsAreRefusedBeforeTheProcessEnds) {
  auto First = make(1, RetryPolicy::AtMostOnce);
  const Placement Sent = Dispatcher_.submit(First, at(0s));
  Dispatcher_.beginAttempt(Sent, *First, at(0s));
  for (JobId Id = 2; Id < 6; ++Id) {
    auto Request = make(Id, RetryPolicy::AtMostOnce);
    Dispatcher_.submit(Request, at(0s));
  }
  BOOST_TEST(Dispatcher_.waitingCount() == 4U);
  Dispatcher_.setStopDeadline(at(5500ms));
  std::size_t Refused = 0;
  for (base::Duration Time = 0s; Time < 5500ms; Time += 25ms)
    for (const auto &[Request, Decision] : Dispatcher_.poll(at(Time))) {
      checkRefused(Decision);
      ++Refused;
    }
  BOOST_TEST(Refused == 4U);
  BOOST_TEST(Dispatcher_.waitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(requestIsNotRepeatedIfThereIsNoTimeBeforeTheEnd) {
  Table_.put(upstream("u2", "east-a", 1), at(0s));
  auto Request = make(1, RetryPolicy::Idempotent);
  const Placement Sent = Dispatcher_.submit(Request, at(0s));
  Dispatcher_.beginAttempt(Sent, *Request, at(0s));
  BOOST_TEST(Dispatcher_.canRetry(*Request, at(0s)));
  Dispatcher_.setStopDeadline(at(500ms));
  BOOST_TEST(!Dispatcher_.canRetry(*Request, at(0s)));
}

BOOST_AUTO_TEST_SUITE_END()
