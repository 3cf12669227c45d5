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

asynckit::awaitable<void> cutAndAwait(DaemonFleetFixture &Fleet, int Number) {
  Fleet.cut(Number, CutKind::Reset);
  Fleet.startLoad(Number, 2);
  const bool IsLost = co_await Fleet.await([&Fleet, Number] {
    return !Fleet.Vms_[Number].State_->Reachability_.reachesUpstreams();
  });
  BOOST_TEST_REQUIRE(IsLost);
}

asynckit::awaitable<void> checkUpload(DaemonFleetFixture &Fleet) {
  const bool IsUp = co_await Fleet.awaitFleet();
  BOOST_TEST_REQUIRE(IsUp);
  co_await cutAndAwait(Fleet, 0);
  // Longer than what is buffered before a request is forwarded.
  const std::string Body(900UL * 1024, 'x');
  const TestResponse Response = co_await Fleet.call(0, "/write/large", Body);
  BOOST_TEST(Response.result_int() == Served);
  BOOST_TEST(Fleet.countArrivals("/write/large") == 1);
  for (const auto &Upstream : Fleet.Upstreams_)
    for (const FakeRequest &Request : Upstream->requests())
      if (Request.target() == "/write/large")
        BOOST_TEST(Request.body().size() == Body.size());
}

// Each VM takes the others for able to serve until it hears that they are not.
asynckit::awaitable<void> checkAllCutOff(DaemonFleetFixture &Fleet) {
  const bool IsUp = co_await Fleet.awaitFleet();
  BOOST_TEST_REQUIRE(IsUp);
  for (int I = 0; I < 3; ++I)
    co_await cutAndAwait(Fleet, I);
  const TestResponse Refused = co_await Fleet.call(0, "/read/a");
  BOOST_TEST(Refused.result_int() == 503U);
  Fleet.mend(1);
  const bool IsBack = co_await Fleet.await([&Fleet] {
    const auto *Report = Fleet.Vms_[0].State_->Members_.find("vm1");
    return !Report->ReachesNoUpstream_;
  });
  BOOST_TEST(IsBack);
  const TestResponse Relayed = co_await Fleet.call(0, "/read/a");
  BOOST_TEST(Relayed.result_int() == Served);
}

asynckit::awaitable<void> checkStranger(DaemonFleetFixture &Fleet) {
  const bool IsUp = co_await Fleet.awaitFleet();
  BOOST_TEST_REQUIRE(IsUp);
  asynckit::error_code Error;
  boost::asio::ip::tcp::socket Socket(Fleet.Context_);
  co_await Socket.async_connect(
      {boost::asio::ip::make_address(Fleet.Vms_[0].Address_),
       DaemonFleetFixture::PeerPort},
      asynckit::into(Error));
  BOOST_TEST(!Error);
  char Byte = 0;
  co_await Socket.async_read_some(boost::asio::buffer(&Byte, 1),
                                  asynckit::into(Error));
  BOOST_TEST(Error.failed());
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

BOOST_AUTO_TEST_CASE(relayedUploadArrivesWholeAndOnce) {
  run(checkUpload(*this));
}

BOOST_AUTO_TEST_CASE(relayedRequestIsNotRelayedAgain) {
  run(checkAllCutOff(*this));
}

BOOST_AUTO_TEST_CASE(onlyListedVmsMayRelay) { run(checkStranger(*this)); }

BOOST_AUTO_TEST_SUITE_END()
