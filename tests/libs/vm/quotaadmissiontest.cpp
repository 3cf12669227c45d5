#include "vm/quotaadmission.h"
#include "base/manualclock.h"
#include "libs/vm/fakestore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const base::CustomerName Atlas("atlas");
constexpr double Rate = 10;

/// A VM of a region with two, of which the one named holder has the customer's
/// whole quota.
class TestVm {
public:
  TestVm(asio::io_context &Context, const base::Clock &Clock,
         const FakeRows &Rows, const std::string &Name,
         QuotaAdmission::AskSender Ask)
      : State_(Context, Clock, settings(Name), FleetBounds(),
               binding(Context, Rows), 1),
        Admission_(State_, std::move(Ask)) {
    traffic::TrafficRules Rules(1, traffic::CallerLimits());
    traffic::CustomerSettings Customer;
    Customer.Name_ = Atlas;
    Customer.RatePerSecond_ = Rate;
    Customer.Burst_ = Rate;
    Rules.addCustomer(Customer, {"key"});
    State_.Quota_.setRules(Rules, State_.now());
    traffic::QuotaPlan Plan;
    Plan.Version_ = 1;
    Plan.Customers_[Atlas] = {{"holder", {1.0, 1.0}}};
    Plan.Vms_ = {"holder"};
    State_.Quota_.setPlan(Plan, State_.now());
    State_.PlanTrust_.confirm(State_.now());
  }

  void receiveReport(const TestVm &Sender) {
    State_.Members_.recordReport(Sender.State_.ownReport(), State_.now());
  }

  VmState State_;
  QuotaAdmission Admission_;

private:
  static VmSettings settings(const std::string &Name) {
    VmSettings Settings;
    Settings.Name_ = Name;
    Settings.Zone_ = base::ZoneName("z");
    Settings.Region_ = base::RegionName("r");
    return Settings;
  }

  static PlatformBinding binding(asio::io_context &Context,
                                 const FakeRows &Rows) {
    PlatformBinding Binding;
    Binding.MakeStore_ = [&Context, &Rows] {
      return std::make_unique<FakeStore>(Context, Rows);
    };
    return Binding;
  }
};

struct Fixture {
  asio::io_context Context_{1};
  base::ManualClock Clock_;
  FakeRows Rows_;
  int AskCount_ = 0;
  bool IsSilent_ = false;
  TestVm Lender_{Context_, Clock_, Rows_, "holder",
                 [](const std::string &, const peers::TokenAsk &) {}};
  TestVm Borrower_{Context_, Clock_, Rows_, "borrower",
                   [this](const std::string &Vm, const peers::TokenAsk &Ask) {
                     BOOST_TEST(Vm == "holder");
                     ++AskCount_;
                     if (!IsSilent_)
                       asio::post(Context_, [this, Ask] {
                         Borrower_.Admission_.receiveAnswer(
                             Lender_.Admission_.answerAsk(Ask));
                       });
                   }};
  int Admitted_ = 0;
  int Refused_ = 0;

  Fixture() {
    // The lender's token bucket starts empty and is full after one second.
    Clock_.advance(1s);
    Borrower_.receiveReport(Lender_);
  }

  asynckit::awaitable<void> admitRequests(int Count) {
    for (int I = 0; I < Count; ++I) {
      const auto Pause = co_await Borrower_.Admission_.admit(Atlas);
      ++(Pause ? Refused_ : Admitted_);
    }
    Context_.stop();
  }

  asynckit::awaitable<void> runTicks() {
    asio::steady_timer Timer(Context_);
    for (;;) {
      Timer.expires_after(1ms);
      asynckit::error_code Ignored; // The timer is never cancelled.
      co_await Timer.async_wait(asynckit::into(Ignored));
      if (IsSilent_)
        Clock_.advance(25ms);
      Borrower_.State_.Deadlines_.tick(Borrower_.State_.now());
    }
  }

  void run(int Count) {
    asio::co_spawn(Context_, admitRequests(Count), asio::detached);
    asio::co_spawn(Context_, runTicks(), asio::detached);
    Context_.run();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quotaadmissiontest, Fixture)

BOOST_AUTO_TEST_CASE(borrowsFromVmWithShare) {
  run(5);
  BOOST_TEST(Admitted_ == 5);
  BOOST_TEST(AskCount_ == 5);
}

// A customer that exceeds its rate causes no further token requests, since the
// lender has stated when it may have tokens again.
BOOST_AUTO_TEST_CASE(doesNotAskEmptyLenderAgain) {
  run(100);
  // The lender's burst, one request that it declines, and none after that.
  BOOST_TEST(Admitted_ == 10);
  BOOST_TEST(Refused_ == 90);
  BOOST_TEST(AskCount_ == 11);
}

BOOST_AUTO_TEST_CASE(waitsOnceForSilentLender) {
  IsSilent_ = true;
  run(3);
  BOOST_TEST(Admitted_ == 0);
  BOOST_TEST(AskCount_ == 1);
}

// A lender without a recent confirmation of the plan may have lost its share.
BOOST_AUTO_TEST_CASE(lendsNothingWithoutConfirmedPlan) {
  TestVm Isolated(Context_, Clock_, Rows_, "holder",
                  [](const std::string &, const peers::TokenAsk &) {});
  traffic::KeyFreshness Unconfirmed(4500ms);
  Isolated.State_.PlanTrust_ = Unconfirmed;
  BOOST_TEST(!Isolated.Admission_.answerAsk({1, Atlas}).IsGranted_);
}

BOOST_AUTO_TEST_SUITE_END()
