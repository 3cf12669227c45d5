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

/// Simulates a fleet in virtual time, with VMs that lose the store or their
/// peers, or restart. All VMs share one plan row.
struct Fleet {
  struct Vm {
    std::string Name_;
    std::optional<CustomerRateLimiter> Limiter_;
    std::optional<MemberTable> Members_;
    QuotaPlanner Planner_{5s};
    base::TimePoint Confirmed_{};
    bool HasStore_ = true;
    bool HasPeers_ = true;
    std::int64_t Incarnation_ = 1;
    int PlanRowVersion_ = 0;
  };

  explicit Fleet(std::uint64_t Seed) : Random_(Seed) {
    for (int I = 0; I < 6; ++I) {
      Vms_.emplace_back();
      Vms_.back().Name_ = "vm" + std::to_string(I);
      start(Vms_.back(), at(0s));
    }
  }

  void start(Vm &Current, base::TimePoint Now) {
    Current.Limiter_.emplace(Current.Name_, 1.0, StaleAfter);
    Current.Limiter_->setRules(Rules_, Now);
    Current.Members_.emplace(Current.Name_, 2500ms);
    Current.Planner_ = QuotaPlanner(5s);
    Current.Confirmed_ = {};
    ++Current.Incarnation_;
  }

  MemberReport reportOf(const Vm &Current, base::TimePoint Now) const {
    MemberReport Report = report(Current.Name_);
    Report.Incarnation_ = Current.Incarnation_;
    Report.QuotaPlanVersion_ = Current.Limiter_->plan().Version_;
    Report.Demand_ = Current.Limiter_->demand(Now);
    return Report;
  }

  void step(base::TimePoint Now) {
    for (Vm &Current : Vms_) {
      if (Current.HasStore_) {
        Current.Limiter_->setPlan(PlanRow_, Now);
        Current.PlanRowVersion_ = PlanRowVersion_;
        Current.Confirmed_ = Now;
      }
      for (Vm &Other : Vms_)
        if (&Other != &Current && Current.HasPeers_ && Other.HasPeers_)
          Other.Members_->recordReport(reportOf(Current, Now), Now);
    }
    for (Vm &Current : Vms_) {
      Current.Limiter_->activatePlan(*Current.Members_, Now);
      plan(Current, Now);
    }
  }

  void plan(Vm &Current, base::TimePoint Now) {
    if (!Current.HasStore_ || !Current.Limiter_->isPlanActive() ||
        Now < at(1500ms))
      return;
    for (const MemberReport *Other : Current.Members_->live(Now))
      if (Other->Name_ < Current.Name_)
        return;
    const auto Next = Current.Planner_.planNext(Current.Limiter_->plan(),
                                                Rules_, reportOf(Current, Now),
                                                *Current.Members_, Now);
    if (!Next || Current.PlanRowVersion_ != PlanRowVersion_)
      return;
    PlanRow_ = *Next;
    ++PlanRowVersion_;
  }

  bool admit(Vm &Current, base::TimePoint Now) {
    if (Now - Current.Confirmed_ >= StaleAfter)
      return false;
    if (!Current.Limiter_->acquireToken(Atlas, Now))
      return true;
    if (!Current.HasPeers_)
      return false;
    // Borrow from another VM when the own share is used up.
    std::vector<std::string> Asked;
    while (const auto Name =
               QuotaLenderSelector(Current.Name_, base::RegionName("east"))
                   .selectNext(Current.Limiter_->plan(), *Current.Members_,
                               Atlas, Asked, Now)) {
      Asked.push_back(*Name);
      const auto Lender =
          std::find_if(Vms_.begin(), Vms_.end(), [&Name](const Vm &Candidate) {
            return Candidate.Name_ == *Name;
          });
      if (Lender->HasPeers_ && Now - Lender->Confirmed_ < StaleAfter &&
          !Lender->Limiter_->lendToken(Atlas, Now))
        return true;
    }
    return false;
  }

  TrafficRules Rules_ = rules();
  base::RandomEngine Random_;
  std::vector<Vm> Vms_;
  QuotaPlan PlanRow_;
  int PlanRowVersion_ = 0;
};

/// Returns the highest number of requests admitted in any window of 5 s.
std::size_t maxAdmittedInWindow(const std::vector<base::TimePoint> &Admitted) {
  std::size_t Max = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Admitted.size(); ++Last) {
    while (Admitted[Last] - Admitted[First] > 5s)
      ++First;
    Max = std::max(Max, Last - First + 1);
  }
  return Max;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quotatest)

// A customer sends eight times its rate to changing VMs while VMs are cut off
// and restarted. No window of 5 s may admit more than rate and burst allow.
BOOST_AUTO_TEST_CASE(fleetNeverExceedsRateAndBurst) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Fleet Simulation(Seed);
    std::vector<base::TimePoint> Admitted;
    std::size_t Hot = 0;
    for (base::Duration Time{}; Time < 40s; Time += 10ms) {
      const base::TimePoint Now = at(Time);
      if (Time % 100ms == 0ms)
        Simulation.step(Now);
      if (Time % 1s == 0ms) {
        Hot = Simulation.Random_.below(Simulation.Vms_.size());
        Fleet::Vm &Victim =
            Simulation.Vms_[Simulation.Random_.below(Simulation.Vms_.size())];
        Victim.HasStore_ = Simulation.Random_.chance(0.7);
        Victim.HasPeers_ = Simulation.Random_.chance(0.7);
        if (Simulation.Random_.chance(0.2))
          Simulation.start(Victim, Now);
      }
      for (int I = 0; I < 8; ++I) {
        const std::size_t Index =
            I < 6 ? Hot : Simulation.Random_.below(Simulation.Vms_.size());
        if (Simulation.admit(Simulation.Vms_[Index], Now))
          Admitted.push_back(Now);
      }
    }
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(!Admitted.empty());
      BOOST_TEST(maxAdmittedInWindow(Admitted) <= Rate * 5 + Burst);
    }
  }
}

// While all VMs are connected, a customer below its rate is served by any VM,
// whether the VM holds a share or borrows.
BOOST_AUTO_TEST_CASE(sharesFollowDemand) {
  for (std::size_t Index = 0; Index < 6; ++Index) {
    Fleet Simulation(1);
    int Asked = 0;
    int Refused = 0;
    for (base::Duration Time{}; Time < 60s; Time += 20ms) {
      const base::TimePoint Now = at(Time);
      if (Time % 100ms == 0ms)
        Simulation.step(Now);
      if (Time < 10s)
        continue;
      ++Asked;
      Refused += Simulation.admit(Simulation.Vms_[Index], Now) ? 0 : 1;
    }
    // At half of the rate, at most 1% of the requests are refused.
    BOOST_TEST_CONTEXT("VM " << Index)
    BOOST_TEST(Refused * 100 <= Asked);
  }
}

// A customer with a low rate and a small burst uses half of its rate, spread
// over all VMs. No VM sees enough demand to get a share, but at most 1% of the
// requests may be refused.
BOOST_AUTO_TEST_CASE(lowRateCustomerIsServedOnAllVms) {
  Fleet Simulation(3);
  Simulation.Rules_ = TrafficRules(1, CallerLimits());
  Simulation.Rules_.addCustomer(customer("atlas", 2, 4), {"key"});
  for (Fleet::Vm &Current : Simulation.Vms_)
    Current.Limiter_->setRules(Simulation.Rules_, at(0s));
  int Asked = 0;
  int Refused = 0;
  for (base::Duration Time{}; Time < 120s; Time += 10ms) {
    const base::TimePoint Now = at(Time);
    if (Time % 100ms == 0ms)
      Simulation.step(Now);
    if (Time < 10s || !Simulation.Random_.chance(0.01))
      continue;
    ++Asked;
    Refused +=
        Simulation.admit(Simulation.Vms_[Simulation.Random_.below(6)], Now) ? 0
                                                                            : 1;
  }
  // At half of the rate, at most 1% of the requests are refused.
  BOOST_TEST(Refused * 100 <= Asked);
}

BOOST_AUTO_TEST_CASE(lowerShareAppliesAtOnceAndHigherShareWaits) {
  CustomerRateLimiter Limiter("vm1", 1.0, StaleAfter);
  Limiter.setRules(rules(), at(0s));
  QuotaPlan Plan;
  Plan.Version_ = 1;
  Plan.Customers_[Atlas] = {{"vm1", {0.5, 0.5}}, {"vm2", {0.5, 0.5}}};
  Plan.Vms_ = {"vm1", "vm2"};
  Limiter.setPlan(Plan, at(0s));
  Plan.Version_ = 2;
  Plan.Customers_[Atlas] = {{"vm1", {1.0, 0.5}}, {"vm2", {0.0, 0.0}}};
  Limiter.setPlan(Plan, at(10s));
  int Admitted = 0;
  while (!Limiter.acquireToken(Atlas, at(10s)))
    ++Admitted;
  BOOST_TEST(Admitted == 50);
  MemberTable Members("vm1", 2500ms);
  Limiter.activatePlan(Members, at(11s));
  BOOST_TEST(!Limiter.isPlanActive());
  Limiter.activatePlan(Members, at(10s) + StaleAfter);
  BOOST_TEST(Limiter.isPlanActive());
}

// The previous plan named vm2, which is cut off and does not know that its
// share went to vm1. vm1 has restarted and has never seen that plan.
BOOST_AUTO_TEST_CASE(restartedVmWaitsForFormerHolders) {
  CustomerRateLimiter Limiter("vm1", 1.0, StaleAfter);
  Limiter.setRules(rules(), at(0s));
  QuotaPlan Plan;
  Plan.Version_ = 2;
  Plan.Customers_[Atlas] = {{"vm1", {1.0, 0.0}}};
  Plan.Vms_ = {"vm1", "vm2"};
  Limiter.setPlan(Plan, at(0s));
  MemberTable Members("vm1", 2500ms);
  MemberReport CutOff = report("vm2");
  CutOff.QuotaPlanVersion_ = 1;
  Members.recordReport(CutOff, at(1s));
  Limiter.activatePlan(Members, at(1s));
  BOOST_TEST(!Limiter.isPlanActive());
  BOOST_TEST(Limiter.acquireToken(Atlas, at(2s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
