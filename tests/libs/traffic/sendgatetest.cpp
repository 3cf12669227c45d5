#include "traffic/sendgate.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr std::array<SendStage, 3> AllStages = {
    SendStage::Place, SendStage::PlaceAsLastResort, SendStage::Send};

struct GateFixture {
  GateFixture() {
    Upstream_->Entry_ = upstream("u1", "east-a");
    Upstream_->Region_ = base::RegionName("east");
  }

  SendPermission ask(SendStage Stage) const {
    return Gate_.permission(*Upstream_, Stage, at(0s));
  }

  ColdUpstreamLimiter ColdLimiter_{"vm", 0.8};
  UpstreamRateLimiter RateLimiter_{"vm", base::RegionName("east")};
  SendGate Gate_{ColdLimiter_, RateLimiter_, ColdBound()};
  UpstreamPtr Upstream_{new UpstreamState};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(sendgatetest, GateFixture)

BOOST_AUTO_TEST_CASE(usualUpstreamGetsRequestsAtOnce) {
  for (const SendStage Stage : AllStages)
    BOOST_TEST(ask(Stage).isNow());
}

// Each way of a request to an upstream ends when the upstream leaves.
BOOST_AUTO_TEST_CASE(leavingUpstreamIsBarredAtEachStage) {
  Upstream_->Run_ = new UpstreamRun;
  Upstream_->Run_->IsLeaving_ = true;
  for (const SendStage Stage : AllStages)
    BOOST_TEST((ask(Stage) ==
                SendPermission{SendBar::Leaving, SendPermission::Never}));
  Upstream_->Run_->IsLeaving_ = false;
  Upstream_->Entry_.IsDraining_ = true;
  for (const SendStage Stage : AllStages)
    BOOST_TEST(ask(Stage).isNever());
}

BOOST_AUTO_TEST_CASE(unlistedUpstreamIsBarredAtEachStage) {
  Upstream_->IsListed_ = false;
  for (const SendStage Stage : AllStages)
    BOOST_TEST((ask(Stage).Bar_ == SendBar::Unlisted));
}

BOOST_AUTO_TEST_CASE(ejectionBarsUnlessThereIsNoOtherUpstream) {
  Upstream_->EjectedUntil_ = at(1s);
  BOOST_TEST((ask(SendStage::Place).Bar_ == SendBar::Ejected));
  BOOST_TEST(ask(SendStage::PlaceAsLastResort).isNow());
  BOOST_TEST(ask(SendStage::Send).isNow());
}

// A placed request has been counted, so the limits would refuse it.
BOOST_AUTO_TEST_CASE(limitsAreNotAskedAgainForPlacedRequests) {
  Upstream_->Limit_ = Upstream_->Limit_.afterResponse(1, at(0s), at(0s));
  RateLimiter_.recordSend(*Upstream_, at(0s));
  BOOST_TEST((ask(SendStage::Place).Bar_ == SendBar::NamedLimit));
  BOOST_TEST(ask(SendStage::Send).isNow());
}

// Incident quiet-upstream: the ways past an ejection must not lead to an
// upstream that has asked for no requests.
BOOST_AUTO_TEST_CASE(quietUpstreamIsBarredAtEachStageUntilItsTimeIsOver) {
  Upstream_->keepQuiet(at(4s));
  Upstream_->keepQuiet(at(2s));
  for (const SendStage Stage : AllStages)
    BOOST_TEST((ask(Stage) == SendPermission{SendBar::Quiet, 4s}));
}

BOOST_AUTO_TEST_CASE(oneRequestTriesAnUpstreamAfterItsQuietTime) {
  Upstream_->keepQuiet(at(-1s));
  BOOST_TEST(ask(SendStage::Place).isNow());
  Upstream_->InFlight_ = 1;
  BOOST_TEST((ask(SendStage::Place).Bar_ == SendBar::Trial));
  BOOST_TEST(ask(SendStage::Send).isNow());
  // The response to a request that was sent before says nothing.
  BOOST_TEST(!Upstream_->endTrial(at(-2s)));
  BOOST_TEST(Upstream_->endTrial(at(0s)));
  BOOST_TEST(ask(SendStage::Place).isNow());
}

BOOST_AUTO_TEST_SUITE_END()
