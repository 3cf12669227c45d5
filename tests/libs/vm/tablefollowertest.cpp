#include "vm/tablefollower.h"
#include "base/manualclock.h"
#include "libs/vm/fakestore.h"
#include "store/position.h"

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
  FakeHistory History_;
  std::unique_ptr<VmState> State_;
  std::unique_ptr<TableFollower> Follower_;
  std::vector<std::vector<store::Row>> Snapshots_;
  int StoreReturns_ = 0;
  int ChangedRows_ = 0;
  int Confirmations_ = 0;
  int Restores_ = 0;

  /// Follows the table of a store that never changes, or of one with \p
  /// History.
  void follow(FakeHistory *History = nullptr) {
    Clock_.advance(10s);
    VmSettings Settings;
    Settings.Name_ = "vm";
    PlatformBinding Binding;
    Binding.MakeStore_ = [this, History] {
      return std::make_unique<FakeStore>(Context_, Rows_, History);
    };
    State_ = std::make_unique<VmState>(Context_, Clock_, Settings,
                                       FleetBounds(), Binding, 1);
    Follower_ = std::make_unique<TableFollower>(
        *State_, Table, UpstreamPace,
        TableListener{[this](const auto &Rows) { Snapshots_.push_back(Rows); },
                      [this](const auto &Rows) {
                        ChangedRows_ += static_cast<int>(Rows.size());
                      },
                      [this](base::TimePoint) { ++Confirmations_; },
                      [this](base::TimePoint) { ++StoreReturns_; },
                      [this] { ++Restores_; }, true});
    boost::asio::co_spawn(Context_, Follower_->run(), boost::asio::detached);
    Context_.poll();
  }

  /// Has the VM, as its region's reader, read the store.
  void read() {
    State_->KeyTrust_.confirm(Clock_.now());
    State_->PlanTrust_.confirm(Clock_.now());
    Follower_->endPause();
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
  Rows_[Table] = {{"one", "", 1, false}};
  follow();
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

// The store comes back from an older copy, which holds an upstream that has
// left and lacks one that has joined. Neither may change what is in use; rows
// that are written again count at once, and after the time for that the table
// counts as it stands.
BOOST_AUTO_TEST_CASE(keepsKnownRowsWhenStoreComesBackFromOlderCopy) {
  History_.Position_ = store::makePosition(1, 50);
  Rows_[Table] = {{"stays", "", store::makePosition(1, 40), false},
                  {"joined", "", store::makePosition(1, 50), false}};
  follow(&History_);
  BOOST_TEST_REQUIRE(Snapshots_.size() == 1U);
  const int Confirmations = Confirmations_;

  History_.Position_ = store::makePosition(2, 30);
  History_.IsGone_ = true;
  Rows_[Table] = {{"left", "", store::makePosition(2, 20), false},
                  {"stays", "", store::makePosition(2, 30), false}};
  read();
  BOOST_TEST(Snapshots_.size() == 1U);
  BOOST_TEST(Restores_ == 1);

  // Version 41 was given out in the first era, too.
  const store::Row Renewed = {"stays", "", store::makePosition(2, 41), false};
  History_.Position_ = Renewed.Version_;
  History_.Changes_ = {{{Renewed}, Renewed.Version_, false}};
  Rows_[Table][1] = Renewed;
  read();
  BOOST_TEST(ChangedRows_ == 1);
  BOOST_TEST(Confirmations_ == Confirmations);

  Clock_.advance(2100ms);
  read();
  BOOST_TEST_REQUIRE(Snapshots_.size() == 2U);
  BOOST_TEST_REQUIRE(Snapshots_[1].size() == 1U);
  BOOST_TEST(Snapshots_[1][0].Key_ == "stays");
  BOOST_TEST(Confirmations_ > Confirmations);
}

// News of an earlier era that arrives late must not count.
BOOST_AUTO_TEST_CASE(ignoresNewsOfEarlierEra) {
  History_.Position_ = store::makePosition(2, 30);
  Rows_[Table] = {{"one", "", store::makePosition(2, 30), false}};
  follow(&History_);
  peers::TableNews News;
  News.Table_ = Table;
  News.After_ = store::makePosition(1, 60);
  News.Changes_.Version_ = store::makePosition(1, 70);
  News.Changes_.Rows_ = {{"one", "", News.Changes_.Version_, true}};
  BOOST_TEST(State_->News_.deliver(News));
  BOOST_TEST(ChangedRows_ == 0);
}

// Each read of a whole table takes several calls, for which all VMs share the
// store's rate.
BOOST_AUTO_TEST_CASE(unreadableTableIsReadLessAndLessOften) {
  History_.IsUnreadable_ = true;
  follow(&History_);
  Context_.run_for(4s);
  BOOST_TEST(History_.WholeReads_ >= 2);
  // After 0, 0.1, 0.3, 0.7, 1.5 and 3.1 s.
  BOOST_TEST(History_.WholeReads_ <= 6);
}

BOOST_AUTO_TEST_SUITE_END()
