#include "base/manualclock.h"
#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;

namespace {

/// A VM that does not reach the store for six seconds, in which an upstream's
/// entry is removed.
struct Fixture {
  Fixture() {
    Clock_.advance(10s);
    Rows_["operators"] = {{"configuration", "", 1, false}};
    Rows_["upstreams"] = {{"stays", "80", 2, false}, {"gone", "81", 3, false}};
    VmSettings Settings;
    Settings.Name_ = "vm";
    PlatformBinding Binding = makeTestBinding(Context_, Rows_);
    Binding.MakeStore_ = [this] {
      return std::make_unique<FakeStore>(Context_, Rows_, &History_);
    };
    State_ = std::make_unique<VmState>(Context_, Clock_, Settings,
                                       FleetBounds(), Binding, 1);
    Synchronizer_ = std::make_unique<StateSynchronizer>(*State_);
    Synchronizer_->start();
    Context_.poll();
    State_->KeyTrust_.confirm(Clock_.now());
    State_->PlanTrust_.confirm(Clock_.now());
  }

  /// Lets time pass. If \p OthersReachStore, another VM reports that it does.
  void pass(base::Duration Span, bool OthersReachStore) {
    for (base::Duration Passed{}; Passed < Span; Passed += Step) {
      Clock_.advance(Step);
      traffic::MemberReport Report;
      Report.Name_ = "other";
      Report.Region_ = base::RegionName("elsewhere");
      Report.StoreNewsAge_ = OthersReachStore ? Step : OtherNewsAge_ += Step;
      if (OthersReachStore)
        OtherNewsAge_ = base::Duration::zero();
      State_->recordReport(Report);
    }
  }

  /// Has the VM read the store, which answers or does not.
  void read(bool IsReachable) {
    History_.IsUnreachable_ = !IsReachable;
    Context_.restart();
    // Longer than the delay after a failed read.
    Context_.run_for(900ms);
  }

  void playOutage(bool OthersReachStore) {
    pass(5s, true);
    read(true);
    read(false);
    pass(6s, OthersReachStore);
    History_.Position_ = 5;
    History_.Changes_ = {{{{"gone", "", 5, true}}, 5, false},
                         {{{"gone", "", 5, true}}, 5, false}};
    read(true);
  }

  bool isUsed() const {
    return State_->Upstreams_.find(base::UpstreamName("gone")) != nullptr;
  }

  static constexpr base::Duration Step = 300ms;

  boost::asio::io_context Context_{1};
  base::ManualClock Clock_;
  FakeRows Rows_;
  FakeHistory History_;
  base::Duration OtherNewsAge_{};
  std::unique_ptr<VmState> State_;
  std::unique_ptr<StateSynchronizer> Synchronizer_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(removedupstreamkepttest, Fixture)

// KNOWN-RED bench.valoriza-retail-scale-2: a VM that the store had turned away
// alone went on using upstreams that had been removed.
BOOST_AUTO_TEST_CASE(removalCountsAtOnceIfTheStoreServedOthers) {
  playOutage(true);
  BOOST_TEST(!isUsed());
}

// Entries expire while no upstream can renew them.
BOOST_AUTO_TEST_CASE(removalIsDelayedAfterAnOutageForAll) {
  playOutage(false);
  BOOST_TEST(isUsed());
  pass(2100ms, true);
  State_->Upstreams_.expire(Clock_.now());
  BOOST_TEST(!isUsed());
}

BOOST_AUTO_TEST_SUITE_END()
