#include "libs/vm/daemonfleetfixture.h"
#include "vm/upstreamprobe.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

constexpr unsigned Served = 200;

struct Fixture : DaemonFleetFixture {
  std::map<std::string, base::TimePoint> ArrivedAt_;

  // A response takes long enough for requests to need connections of their own.
  Fixture() {
    for (const auto &Upstream : Upstreams_)
      Upstream->setMayAnswer([this](const FakeRequest &Request) {
        const auto Entry =
            ArrivedAt_.try_emplace(std::string(Request["Id"]), Clock_.now());
        return Clock_.now() - Entry.first->second >
               std::chrono::milliseconds(40);
      });
  }

  asynckit::awaitable<int> countServed(int Number, int Calls) {
    int Count = 0;
    for (int I = 0; I < Calls; ++I) {
      const TestResponse Response = co_await call(Number, "/read/a");
      Count += Response.result_int() == Served ? 1 : 0;
    }
    co_return Count;
  }

  asynckit::awaitable<void> cutAndCheck(CutKind Kind) {
    const bool IsUp = co_await awaitFleet();
    BOOST_TEST_REQUIRE(IsUp);
    co_await call(0, "/read/a");
    startLoad(0, 2);
    co_await pause(std::chrono::milliseconds(200));
    cut(0, Kind);
    // More callers than connections that live on.
    startLoad(0, 20);
    const bool IsLeftOut = co_await await([this] { return !isNamed(1, 0); });
    BOOST_TEST(IsLeftOut);
    BOOST_TEST(!isNamed(0, 0));
    const int RelayedCount = co_await countServed(0, 20);
    BOOST_TEST(RelayedCount == 20);
    for (const Vm &One : Vms_)
      BOOST_TEST(One.State_->Crashes_.isEmpty());
    mend(0);
    const bool IsBack = co_await await([this] { return isNamed(1, 0); });
    BOOST_TEST(IsBack);
    const int DirectCount = co_await countServed(0, 20);
    BOOST_TEST(DirectCount == 20);
  }
};

asynckit::awaitable<void> checkEvidence(DaemonFleetFixture &Fleet) {
  const bool IsUp = co_await Fleet.awaitFleet();
  BOOST_TEST_REQUIRE(IsUp);
  VmState &State = *Fleet.Vms_[0].State_;
  const traffic::UpstreamPtr First =
      State.Upstreams_.find(base::UpstreamName("u0"));
  Fleet.Vms_[0].Links_[0]->cut(CutKind::Reset);
  const bool HasEndedAlone = co_await hasUpstreamEnded(State, First);
  BOOST_TEST(HasEndedAlone);
  Fleet.cut(0, CutKind::Reset);
  const bool HasEndedWithAll = co_await hasUpstreamEnded(State, First);
  BOOST_TEST(!HasEndedWithAll);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(vmwithoutupstreamstest, Fixture)

// Incident RECOVER: callers of a VM that has lost the way to all upstreams are
// refused, and other callers are sent to it, until the way is back.
BOOST_AUTO_TEST_CASE(callersAreServedWhileConnectionsAreReset) {
  run(cutAndCheck(CutKind::Reset));
}

BOOST_AUTO_TEST_CASE(callersAreServedWhileConnectionsHang) {
  run(cutAndCheck(CutKind::Hang));
}

BOOST_AUTO_TEST_CASE(callersAreServedWhileNewConnectionsAreRefused) {
  run(cutAndCheck(CutKind::HalfOpen));
}

// A VM that has lost its link must not report that upstreams ended, or contents
// are blamed that ended none.
BOOST_AUTO_TEST_CASE(lostLinkIsNoEvidenceThatUpstreamsEnded) {
  run(checkEvidence(*this));
}

BOOST_AUTO_TEST_SUITE_END()
