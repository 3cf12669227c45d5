#include "base/randomengine.h"
#include "libs/traffic/fixtures.h"
#include "traffic/coldupstreamlimiter.h"
#include "traffic/keyfreshness.h"
#include "traffic/retrybudget.h"
#include "traffic/trafficsplitter.h"
#include "traffic/upstreamhealth.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

BOOST_AUTO_TEST_SUITE(trafficpolicytest)

// 40 VMs offer requests to one cold upstream for 5 s. Their total must stay
// within the limit in each second.
BOOST_AUTO_TEST_CASE(coldLimitHoldsAcrossAllVms) {
  constexpr int Vms = 40;
  constexpr double FleetLimit = 6.1 * 1.5 + 5;
  std::vector<std::string> Names;
  Names.reserve(Vms);
  for (int I = 0; I < Vms; ++I)
    Names.push_back("vm" + std::to_string(I));
  std::vector<ColdUpstreamLimiter> Limiters;
  std::vector<UpstreamState> Views(Vms);
  for (int I = 0; I < Vms; ++I) {
    std::vector<std::string> Others = Names;
    std::erase(Others, Names[I]);
    Limiters.emplace_back(Names[I], 0.8).setOtherVms(Others, at(-5s));
    Views[I].NameHash_ = 99;
    Views[I].ColdUntil_ = at(10s);
  }
  std::vector<base::TimePoint> Sent;
  for (base::Duration Time{}; Time < 5s; Time += 10ms)
    for (int I = 0; I < Vms; ++I)
      if (Limiters[I].allows(Views[I], FleetLimit, at(Time))) {
        Limiters[I].recordSend(Views[I], at(Time));
        Sent.push_back(at(Time));
      }
  BOOST_TEST(!Sent.empty());
  for (const base::TimePoint From : Sent) {
    const auto Count = std::count_if(
        Sent.begin(), Sent.end(), [From](base::TimePoint Instant) {
          return Instant >= From && Instant < From + 1s;
        });
    BOOST_TEST(static_cast<double>(Count) <= FleetLimit);
  }
}

BOOST_AUTO_TEST_CASE(retryBudgetHoldsAcrossAllVms) {
  constexpr int Vms = 12;
  constexpr double Ratio = 0.2;
  constexpr double Slack = 64;
  const base::ServiceName Service("status");
  std::vector<RetryBudget> Budgets(Vms, RetryBudget(Ratio, Slack, 10s));
  int Requests = 0;
  int Retries = 0;
  for (base::Duration Time{}; Time < 10s; Time += 50ms)
    for (RetryBudget &Budget : Budgets) {
      Budget.setVmCount(Vms, at(Time));
      Budget.recordRequest(Service, at(Time));
      ++Requests;
      Retries += Budget.acquire(Service, at(Time)) ? 1 : 0;
    }
  BOOST_TEST(Retries > 0);
  BOOST_TEST(Retries <= Ratio * Requests + Slack);
}

// VMs that are cut off from each other see a fleet of one VM, each.
BOOST_AUTO_TEST_CASE(retryBudgetHoldsWhileVmsAreCutOff) {
  constexpr int Vms = 12;
  constexpr double Slack = 64;
  const base::ServiceName Service("status");
  std::vector<RetryBudget> Budgets(Vms, RetryBudget(0.2, Slack, 10s));
  int Requests = 0;
  int Retries = 0;
  for (base::Duration Time{}; Time < 10s; Time += 50ms)
    for (RetryBudget &Budget : Budgets) {
      Budget.setVmCount(Time < 500ms ? Vms : 1, at(Time));
      Budget.recordRequest(Service, at(Time));
      ++Requests;
      Retries += Budget.acquire(Service, at(Time)) ? 1 : 0;
    }
  BOOST_TEST(Retries <= 0.2 * Requests + Slack);
}

BOOST_AUTO_TEST_CASE(retryBudgetFollowsSmallerFleet) {
  const base::ServiceName Service("status");
  RetryBudget Budget(0, 20, 10s);
  Budget.setVmCount(10, at(0s));
  Budget.setVmCount(1, at(1s));
  Budget.setVmCount(1, at(90s));
  int Retries = 0;
  while (Budget.acquire(Service, at(90s)))
    ++Retries;
  BOOST_TEST(Retries == 14);
}

BOOST_AUTO_TEST_CASE(keyFreshnessCountsFromRequestTime) {
  KeyFreshness Freshness(4500ms);
  BOOST_TEST(!Freshness.isFresh(at(0s)));
  Freshness.confirm(at(1s));
  BOOST_TEST(Freshness.isFresh(at(5s)));
  BOOST_TEST(!Freshness.isFresh(at(5500ms)));
  // A late response to an older request does not extend the freshness.
  Freshness.confirm(at(0s));
  BOOST_TEST(!Freshness.isFresh(at(5500ms)));
}

BOOST_AUTO_TEST_CASE(trafficSplitKeepsWeightsOverShortRuns) {
  RouteSettings Route;
  Route.Services_ = {{base::ServiceName("a"), 90},
                     {base::ServiceName("b"), 10}};
  TrafficSplitter Splitter;
  int Small = 0;
  for (int I = 0; I < 100; ++I)
    Small += Splitter.choose(1, Route).text() == "b" ? 1 : 0;
  BOOST_TEST(Small == 10);
}

BOOST_AUTO_TEST_CASE(consecutiveFailuresEjectUpstreamTemporarily) {
  const UpstreamHealth Health;
  UpstreamState State;
  BOOST_TEST(
      !Health.recordResult(State, AttemptResult::ConnectionLost, at(0s)));
  BOOST_TEST(!Health.recordResult(State, AttemptResult::Shed, at(0s)));
  BOOST_TEST(Health.recordResult(State, AttemptResult::TimedOut, at(0s)));
  BOOST_TEST(State.isEjected(at(500ms)));
  BOOST_TEST(!State.isEjected(at(1s)));
  Health.recordResult(State, AttemptResult::Answered, at(1s));
  BOOST_TEST(State.FailuresInRow_ == 0);
}

// While every upstream sheds half of its requests, ejections would move all
// objects to upstreams that do not have them cached and shed as much.
BOOST_AUTO_TEST_CASE(upstreamThatShedsPartOfItsRequestsIsSeldomEjected) {
  const UpstreamHealth Health;
  UpstreamState State;
  base::RandomEngine Random(1);
  int Ejections = 0;
  for (int I = 0; I < 300; ++I)
    if (Health.recordResult(State,
                            Random.unit() < 0.55 ? AttemptResult::Shed
                                                 : AttemptResult::Answered,
                            at(I * 30ms)))
      ++Ejections;
  BOOST_TEST(Ejections <= 3);
}

BOOST_AUTO_TEST_CASE(upstreamThatShedsAllRequestsIsEjected) {
  const UpstreamHealth Health;
  UpstreamState State;
  for (int I = 0; I < 12; ++I)
    Health.recordResult(State, AttemptResult::Shed, at(0s));
  BOOST_TEST(State.isEjected(at(500ms)));
}

BOOST_AUTO_TEST_CASE(callerDisconnectIsNotCountedAsFailure) {
  const UpstreamHealth Health;
  UpstreamState State;
  for (int I = 0; I < 10; ++I)
    Health.recordResult(State, AttemptResult::CallerLeft, at(0s));
  BOOST_TEST(!State.isEjected(at(0s)));
  BOOST_TEST(State.FailureShare_ == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
