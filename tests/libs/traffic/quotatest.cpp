#include "base/randomengine.h"
#include "libs/traffic/fixtures.h"
#include "traffic/customerratelimiter.h"
#include "traffic/quotalenderselector.h"
#include "traffic/quotaplanner.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr double Rate = 100;
constexpr double Burst = 100;
constexpr base::Duration StaleAfter = 4500ms;
const base::CustomerName Atlas("atlas");

TrafficRules rules() {
  TrafficRules Rules(1, CallerLimits());
  Rules.addCustomer(customer("atlas", Rate, Burst), {"key"});
  return Rules;
}

/// A fleet in virtual time: VMs that lose the store or their peers, or start
/// again, under one shared plan row.
struct Fleet {
  struct Vm {
    std::string Name_;
    std::optional<CustomerRateLimiter> Gate_;
    std::optional<MemberTable> Members_;
    QuotaPlanner Planner_{5s};
    base::TimePoint Confirmed_{};
    bool HasStore_ = true;
    bool HasPeers_ = true;
    std::int64_t Incarnation_ = 1;
    int RowVersion_ = 0;
  };

  explicit Fleet(std::uint64_t Seed) : Random_(Seed) {
    for (int I = 0; I < 6; ++I) {
      Vms_.emplace_back();
      Vms_.back().Name_ = "vm" + std::to_string(I);
      start(Vms_.back(), at(0s));
    }
  }

  void start(Vm &One, base::TimePoint Now) {
    One.Gate_.emplace(One.Name_, 1.0, StaleAfter);
    One.Gate_->setRules(Rules_, Now);
    One.Members_.emplace(One.Name_, 2500ms);
    One.Planner_ = QuotaPlanner(5s);
    One.Confirmed_ = {};
    ++One.Incarnation_;
  }

  MemberReport reportOf(const Vm &One, base::TimePoint Now) const {
    MemberReport Report = report(One.Name_);
    Report.Incarnation_ = One.Incarnation_;
    Report.QuotaPlanVersion_ = One.Gate_->plan().Version_;
    Report.Demand_ = One.Gate_->demand(Now);
    return Report;
  }

  void step(base::TimePoint Now) {
    for (Vm &One : Vms_) {
      if (One.HasStore_) {
        One.Gate_->setPlan(Row_, Now);
        One.RowVersion_ = RowVersion_;
        One.Confirmed_ = Now;
      }
      for (Vm &Other : Vms_)
        if (&Other != &One && One.HasPeers_ && Other.HasPeers_)
          Other.Members_->recordReport(reportOf(One, Now), Now);
    }
    for (Vm &One : Vms_) {
      One.Gate_->activatePlan(*One.Members_, Now);
      plan(One, Now);
    }
  }

  void plan(Vm &One, base::TimePoint Now) {
    if (!One.HasStore_ || !One.Gate_->isPlanActive() || Now < at(1500ms))
      return;
    for (const MemberReport *Other : One.Members_->live(Now))
      if (Other->Name_ < One.Name_)
        return;
    const auto Next = One.Planner_.planNext(
        One.Gate_->plan(), Rules_, reportOf(One, Now), *One.Members_, Now);
    if (!Next || One.RowVersion_ != RowVersion_)
      return;
    Row_ = *Next;
    ++RowVersion_;
  }

  bool admit(Vm &One, base::TimePoint Now) {
    if (Now - One.Confirmed_ >= StaleAfter)
      return false;
    if (!One.Gate_->acquireToken(Atlas, Now))
      return true;
    if (!One.HasPeers_)
      return false;
    // What the VM's own share does not give, another one may lend.
    std::vector<std::string> Asked;
    while (const auto Name =
               QuotaLenderSelector(One.Name_, base::RegionName("east"))
                   .selectNext(One.Gate_->plan(), *One.Members_, Atlas, Asked,
                               Now)) {
      Asked.push_back(*Name);
      const auto Lender =
          std::find_if(Vms_.begin(), Vms_.end(),
                       [&Name](const Vm &Two) { return Two.Name_ == *Name; });
      if (Lender->HasPeers_ && Now - Lender->Confirmed_ < StaleAfter &&
          !Lender->Gate_->lendToken(Atlas, Now))
        return true;
    }
    return false;
  }

  TrafficRules Rules_ = rules();
  base::RandomEngine Random_;
  std::vector<Vm> Vms_;
  QuotaPlan Row_;
  int RowVersion_ = 0;
};

/// Most requests admitted in any window of five seconds.
std::size_t worstWindow(const std::vector<base::TimePoint> &Admitted) {
  std::size_t Worst = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Admitted.size(); ++Last) {
    while (Admitted[Last] - Admitted[First] > 5s)
      ++First;
    Worst = std::max(Worst, Last - First + 1);
  }
  return Worst;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quotatest)

// A customer presses at eight times its rate on changing VMs while VMs are cut
// off and started again; no window of 5 s admits more than rate and burst.
BOOST_AUTO_TEST_CASE(noWindowPassesRateAndBurst) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Fleet Own(Seed);
    std::vector<base::TimePoint> Admitted;
    std::size_t Hot = 0;
    for (base::Duration Time{}; Time < 40s; Time += 10ms) {
      const base::TimePoint Now = at(Time);
      if (Time % 100ms == 0ms)
        Own.step(Now);
      if (Time % 1s == 0ms) {
        Hot = Own.Random_.below(Own.Vms_.size());
        Fleet::Vm &Victim = Own.Vms_[Own.Random_.below(Own.Vms_.size())];
        Victim.HasStore_ = Own.Random_.chance(0.7);
        Victim.HasPeers_ = Own.Random_.chance(0.7);
        if (Own.Random_.chance(0.2))
          Own.start(Victim, Now);
      }
      for (int I = 0; I < 8; ++I) {
        const std::size_t At = I < 6 ? Hot : Own.Random_.below(Own.Vms_.size());
        if (Own.admit(Own.Vms_[At], Now))
          Admitted.push_back(Now);
      }
    }
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(!Admitted.empty());
      BOOST_TEST(worstWindow(Admitted) <= Rate * 5 + Burst);
    }
  }
}

// While all VMs are connected, a customer below its rate on any one VM is
// served, whether that VM holds a share or borrows.
BOOST_AUTO_TEST_CASE(sharesFollowTheDemand) {
  for (std::size_t At = 0; At < 6; ++At) {
    Fleet Own(1);
    int Asked = 0;
    int Refused = 0;
    for (base::Duration Time{}; Time < 60s; Time += 20ms) {
      const base::TimePoint Now = at(Time);
      if (Time % 100ms == 0ms)
        Own.step(Now);
      if (Time < 10s)
        continue;
      ++Asked;
      Refused += Own.admit(Own.Vms_[At], Now) ? 0 : 1;
    }
    // At half of the rate; at most one in a hundred is refused.
    BOOST_TEST_CONTEXT("VM " << At)
    BOOST_TEST(Refused * 100 <= Asked);
  }
}

// A customer at half of its rate with a burst of a few, on all VMs by
// turns: no VM sees enough of it to be given a share, and hardly any is
// refused.
BOOST_AUTO_TEST_CASE(aThinCustomerIsServedOnAllVms) {
  Fleet Own(3);
  Own.Rules_ = TrafficRules(1, CallerLimits());
  Own.Rules_.addCustomer(customer("atlas", 2, 4), {"key"});
  for (Fleet::Vm &One : Own.Vms_)
    One.Gate_->setRules(Own.Rules_, at(0s));
  int Asked = 0;
  int Refused = 0;
  for (base::Duration Time{}; Time < 120s; Time += 10ms) {
    const base::TimePoint Now = at(Time);
    if (Time % 100ms == 0ms)
      Own.step(Now);
    if (Time < 10s || !Own.Random_.chance(0.01))
      continue;
    ++Asked;
    Refused += Own.admit(Own.Vms_[Own.Random_.below(6)], Now) ? 0 : 1;
  }
  // At half of the rate; at most one in a hundred is refused.
  BOOST_TEST(Refused * 100 <= Asked);
}

BOOST_AUTO_TEST_CASE(aLowerShareCountsAtOnceAndAHigherOneWaits) {
  CustomerRateLimiter Gate("vm1", 1.0, StaleAfter);
  Gate.setRules(rules(), at(0s));
  QuotaPlan Plan;
  Plan.Version_ = 1;
  Plan.Customers_[Atlas] = {{"vm1", {0.5, 0.5}}, {"vm2", {0.5, 0.5}}};
  Plan.Vms_ = {"vm1", "vm2"};
  Gate.setPlan(Plan, at(0s));
  Plan.Version_ = 2;
  Plan.Customers_[Atlas] = {{"vm1", {1.0, 0.5}}, {"vm2", {0.0, 0.0}}};
  Gate.setPlan(Plan, at(10s));
  int Admitted = 0;
  while (!Gate.acquireToken(Atlas, at(10s)))
    ++Admitted;
  BOOST_TEST(Admitted == 50);
  MemberTable Members("vm1", 2500ms);
  Gate.activatePlan(Members, at(11s));
  BOOST_TEST(!Gate.isPlanActive());
  Gate.activatePlan(Members, at(10s) + StaleAfter);
  BOOST_TEST(Gate.isPlanActive());
}

// The plan before named vm2, which is cut off and does not know that its share
// went to vm1; vm1 starts and has never seen that plan.
BOOST_AUTO_TEST_CASE(aVmThatStartsWaitsForFormerHolders) {
  CustomerRateLimiter Gate("vm1", 1.0, StaleAfter);
  Gate.setRules(rules(), at(0s));
  QuotaPlan Plan;
  Plan.Version_ = 2;
  Plan.Customers_[Atlas] = {{"vm1", {1.0, 0.0}}};
  Plan.Vms_ = {"vm1", "vm2"};
  Gate.setPlan(Plan, at(0s));
  MemberTable Members("vm1", 2500ms);
  MemberReport Cut = report("vm2");
  Cut.QuotaPlanVersion_ = 1;
  Members.recordReport(Cut, at(1s));
  Gate.activatePlan(Members, at(1s));
  BOOST_TEST(!Gate.isPlanActive());
  BOOST_TEST(Gate.acquireToken(Atlas, at(2s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
