#include "vm/tablefollower.h"
#include "base/manualclock.h"
#include "libs/vm/fakestore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;

namespace {

const char *const Table = "upstreams";

struct Fixture {
  boost::asio::io_context Context_{1};
  base::ManualClock Clock_;
  FakeRows Rows_;
  std::unique_ptr<VmState> State_;
  std::unique_ptr<TableFollower> Follower_;
  int StoreReturns_ = 0;
  int ChangedRows_ = 0;

  Fixture() {
    Clock_.advance(10s);
    Rows_[Table] = {{"one", "", 1, false}};
    VmSettings Settings;
    Settings.Name_ = "vm";
    PlatformBinding Binding;
    Binding.MakeStore_ = [this] {
      return std::make_unique<FakeStore>(Context_, Rows_);
    };
    State_ = std::make_unique<VmState>(Context_, Clock_, Settings,
                                       FleetBounds(), Binding, 1);
    Follower_ = std::make_unique<TableFollower>(
        *State_, Table, UpstreamPace,
        TableListener{[](const auto &) {},
                      [this](const auto &Rows) {
                        ChangedRows_ += static_cast<int>(Rows.size());
                      },
                      nullptr, [this](base::TimePoint) { ++StoreReturns_; }});
    boost::asio::co_spawn(Context_, Follower_->run(), boost::asio::detached);
    Context_.poll();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tablefollowertest, Fixture)

// Guards against removed upstreams that stay in use: the region's reader was
// cut off from the store, and its news of the store's return gave removed
// upstreams two more seconds on VMs that had reached the store all the while
// (scenario trouble-1 of cfm-swaps-grown, seed 207719633207).
BOOST_AUTO_TEST_CASE(ignoresStoreReturnSeenOnlyByReader) {
  peers::TableNews News;
  News.Table_ = Table;
  News.After_ = 0;
  News.Changes_.Rows_ = {{"one", "", 2, true}};
  News.Changes_.Version_ = 2;
  News.SinceReturn_ = 100ms;
  BOOST_TEST(State_->News_.deliver(News));
  BOOST_TEST(ChangedRows_ == 1);
  BOOST_TEST(StoreReturns_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()
