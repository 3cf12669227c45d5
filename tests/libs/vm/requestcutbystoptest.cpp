#include "libs/vm/daemonfleetfixture.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;

namespace {

constexpr int Uploads = 40;

/// One VM, whose process ends before the deadlines of its requests. Upstreams
/// do not answer requests for "/write/long".
struct StopFixture : DaemonFleetFixture {
  StopFixture() : DaemonFleetFixture(1, 2, 2s) {
    for (const auto &Upstream : Upstreams_)
      Upstream->setMayAnswer([](const FakeRequest &Request) {
        return Request.target() != "/write/long";
      });
  }

  asynckit::awaitable<void> upload(std::string Target, unsigned &Status) {
    const TestResponse Response = co_await call(0, Target, "sheet");
    Status = Response.result_int();
  }

  void startUpload(const std::string &Target, unsigned &Status) {
    boost::asio::co_spawn(Context_, upload(Target, Status),
                          boost::asio::detached);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestcutbystoptest, StopFixture)

// Incident stop-cuts-requests: uploads that waited for a slot when the process
// ended got no answer, though no upstream had them.
BOOST_AUTO_TEST_CASE(waitingRequestsAreRefusedBeforeTheProcessEnds) {
  std::vector<unsigned> Statuses(Uploads);
  std::size_t WaitingCount = 0;
  run([](StopFixture &Fixture, std::vector<unsigned> &Results,
         std::size_t &Count) -> asynckit::awaitable<void> {
    VmState &State = *Fixture.Vms_[0].State_;
    co_await Fixture.await([&] { return State.isReady(); });
    // The VM learns that requests take little time, so that it queues them.
    for (int I = 0; I < 40; ++I)
      co_await Fixture.call(0, "/write/short", "sheet");
    for (unsigned &Status : Results)
      Fixture.startUpload("/write/long", Status);
    co_await Fixture.await(
        [&] { return State.Dispatcher_.waitingCount() > 0; });
    co_await Fixture.pause(300ms);
    Count = State.Dispatcher_.waitingCount();
    std::raise(SIGTERM);
    // The process ends first.
    co_await Fixture.pause(30s);
  }(*this, Statuses, WaitingCount));
  BOOST_TEST(WaitingCount > 0U);
  // Those that an upstream runs are cut by the end.
  const auto Answered = std::count(Statuses.begin(), Statuses.end(), 503U);
  BOOST_TEST(Answered + countArrivals("/write/long") == Uploads);
}

BOOST_AUTO_TEST_SUITE_END()
