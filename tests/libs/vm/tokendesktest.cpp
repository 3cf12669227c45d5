#include "vm/tokendesk.h"
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

/// One VM of a region with two, of which the first holds the customer's rate.
class OneVm {
public:
  OneVm(asio::io_context &Context, const base::Clock &Clock,
        const FakeRows &Rows, const std::string &Name, TokenDesk::Asker Ask)
      : State_(Context, Clock, settings(Name), FleetBounds(),
               binding(Context, Rows), 1),
        Tokens_(State_, std::move(Ask)) {
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

  void hear(const OneVm &Other) {
    State_.Members_.recordReport(Other.State_.ownReport(), State_.now());
  }

  VmState State_;
  TokenDesk Tokens_;

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
  int Asked_ = 0;
  bool IsSilent_ = false;
  OneVm Holder_{Context_, Clock_, Rows_, "holder",
                [](const std::string &, const peers::TokenAsk &) {}};
  OneVm Borrower_{Context_, Clock_, Rows_, "borrower",
                  [this](const std::string &Vm, const peers::TokenAsk &Ask) {
                    BOOST_TEST(Vm == "holder");
                    ++Asked_;
                    if (!IsSilent_)
                      asio::post(Context_, [this, Ask] {
                        Borrower_.Tokens_.takeAnswer(
                            Holder_.Tokens_.answer(Ask));
                      });
                  }};
  int Admitted_ = 0;
  int Refused_ = 0;

  Fixture() {
    // The holder's bucket starts empty and is full after a second.
    Clock_.advance(1s);
    Borrower_.hear(Holder_);
  }

  asynckit::awaitable<void> ask(int Count) {
    for (int I = 0; I < Count; ++I) {
      const auto Pause = co_await Borrower_.Tokens_.admit(Atlas);
      ++(Pause ? Refused_ : Admitted_);
    }
    Context_.stop();
  }

  asynckit::awaitable<void> tick() {
    asio::steady_timer Timer(Context_);
    for (;;) {
      Timer.expires_after(1ms);
      asynckit::error_code Ignored; // Ends with the test.
      co_await Timer.async_wait(asynckit::into(Ignored));
      if (IsSilent_)
        Clock_.advance(25ms);
      Borrower_.State_.Deadlines_.tick(Borrower_.State_.now());
    }
  }

  void play(int Count) {
    asio::co_spawn(Context_, ask(Count), asio::detached);
    asio::co_spawn(Context_, tick(), asio::detached);
    Context_.run();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tokendesktest, Fixture)

BOOST_AUTO_TEST_CASE(aVmWithoutAShareBorrows) {
  play(5);
  BOOST_TEST(Admitted_ == 5);
  BOOST_TEST(Asked_ == 5);
}

// A customer that presses is not asked for again and again: the holder said
// when it may have something.
BOOST_AUTO_TEST_CASE(anEmptyHolderIsLeftAlone) {
  play(100);
  // The holder's burst, one question in vain, and none after it.
  BOOST_TEST(Admitted_ == 10);
  BOOST_TEST(Refused_ == 90);
  BOOST_TEST(Asked_ == 11);
}

BOOST_AUTO_TEST_CASE(aSilentHolderCostsOneWait) {
  IsSilent_ = true;
  play(3);
  BOOST_TEST(Admitted_ == 0);
  BOOST_TEST(Asked_ == 1);
}

// A holder that has not heard of the plan for too long may have lost its share.
BOOST_AUTO_TEST_CASE(aHolderWithoutNewsOfThePlanLendsNothing) {
  OneVm Cut(Context_, Clock_, Rows_, "holder",
            [](const std::string &, const peers::TokenAsk &) {});
  traffic::KeyFreshness Never(4500ms);
  Cut.State_.PlanTrust_ = Never;
  BOOST_TEST(!Cut.Tokens_.answer({1, Atlas}).IsGranted_);
}

BOOST_AUTO_TEST_SUITE_END()
