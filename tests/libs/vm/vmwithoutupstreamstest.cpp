#include "libs/vm/daemonfleetfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

constexpr unsigned Served = 200;

struct Fixture : DaemonFleetFixture {
  /// Calls the VM until a request is served, then checks that all of the next
  /// ones are.
  asynckit::awaitable<void> checkServed(int Number) {
    const base::TimePoint End = Clock_.now() + std::chrono::seconds(20);
    unsigned Status = 0;
    while (Status != Served && Clock_.now() < End)
      Status = (co_await call(Number, "/read/a")).result_int();
    BOOST_TEST(Status == Served);
    int ServedCount = 0;
    for (int I = 0; I < 20; ++I)
      ServedCount +=
          (co_await call(Number, "/read/a")).result_int() == Served ? 1 : 0;
    BOOST_TEST(ServedCount == 20);
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
    co_await checkServed(0);
    const bool IsLeftOut = co_await await([this] { return !isNamed(1, 0); });
    BOOST_TEST(IsLeftOut);
    BOOST_TEST(!isNamed(0, 0));
    mend(0);
    const bool IsBack = co_await await([this] { return isNamed(1, 0); });
    BOOST_TEST(IsBack);
    co_await checkServed(0);
  }
};

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

BOOST_AUTO_TEST_SUITE_END()
