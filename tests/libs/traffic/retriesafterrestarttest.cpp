#include "base/randomengine.h"
#include "libs/traffic/fixtures.h"
#include "traffic/retrybudget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr double Ratio = 0.2;
constexpr double Slack = 64;
constexpr base::Duration Window = 10s;
const base::ServiceName Service("status");

/// VMs whose processes end and start again while each request may be retried.
class RestartingFleet {
public:
  RestartingFleet(std::size_t Vms, std::uint64_t Seed)
      : Random_(Seed), Vms_(Vms) {}

  /// Lets time pass, with \p RequestsPerSecond of the fleet, each of which is
  /// retried if the budget allows it.
  void play(base::Duration Length, int RequestsPerSecond) {
    const base::Duration Step = base::Duration(1s) / RequestsPerSecond;
    for (const base::Duration End = Time_ + Length; Time_ < End;
         Time_ += Step) {
      Vm &One = Vms_[Random_.below(Vms_.size())];
      updateCount(One);
      One.Budget_.recordRequest(Service, at(Time_));
      Requests_.push_back(Time_);
      if (One.Budget_.acquire(Service, at(Time_)))
        Retries_.push_back(Time_);
    }
  }

  void restart(std::size_t Number) { Vms_[Number] = Vm{Time_}; }
  void restartAny() { restart(Random_.below(Vms_.size())); }
  void restartAll() {
    for (std::size_t I = 0; I < Vms_.size(); ++I)
      restart(I);
  }

  /// Returns the most retries of a window beyond those allowed.
  double excess() const {
    double Worst = -Slack;
    for (const base::Duration Start : Retries_) {
      const double Allowed = Ratio * count(Requests_, Start) + Slack;
      Worst = std::max(Worst, count(Retries_, Start) - Allowed);
    }
    return Worst;
  }
  std::size_t retryCount() const { return Retries_.size(); }

private:
  struct Vm {
    base::Duration Started_{};
    RetryBudget Budget_{Ratio, Slack, Window};
  };

  /// A process knows nobody at first, and then those that the store lists.
  void updateCount(Vm &One) {
    constexpr base::Duration ListReadAfter = 300ms;
    if (Time_ - One.Started_ > ListReadAfter)
      One.Budget_.setVmCount(Vms_.size(), at(Time_));
  }

  static double count(const std::vector<base::Duration> &Times,
                      base::Duration Start) {
    return static_cast<double>(
        std::upper_bound(Times.begin(), Times.end(), Start + Window) -
        std::lower_bound(Times.begin(), Times.end(), Start));
  }

  base::RandomEngine Random_;
  std::vector<Vm> Vms_;
  base::Duration Time_{};
  std::vector<base::Duration> Requests_;
  std::vector<base::Duration> Retries_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(retriesafterrestarttest)

// Seen by users on real processes: each process that started amid trouble spent
// the slack of the whole fleet.
BOOST_AUTO_TEST_CASE(restartsInSeriesKeepTheBound) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    RestartingFleet Fleet(12, Seed);
    Fleet.play(15s, 150);
    for (int I = 0; I < 60; ++I) {
      Fleet.restartAny();
      Fleet.play(250ms, 150);
    }
    BOOST_TEST(Fleet.excess() <= 0, "seed " << Seed);
  }
}

BOOST_AUTO_TEST_CASE(restartsOfAllVmsKeepTheBound) {
  for (const std::size_t Vms : {1UL, 12UL, 78UL, 300UL}) {
    RestartingFleet Fleet(Vms, 7);
    Fleet.play(15s, 150);
    for (int I = 0; I < 4; ++I) {
      Fleet.restartAll();
      Fleet.play(2500ms, 150);
    }
    BOOST_TEST(Fleet.excess() <= 0, Vms << " VMs");
  }
}

// The slack is for few requests, whose ratio allows next to none.
BOOST_AUTO_TEST_CASE(slackIsUsedOnceTheFleetWasKnownForAWindow) {
  RestartingFleet Fleet(12, 3);
  Fleet.play(10s, 5);
  const std::size_t Early = Fleet.retryCount();
  Fleet.play(10s, 5);
  BOOST_TEST(Early < 10U);
  BOOST_TEST(Fleet.retryCount() - Early > 20U);
}

BOOST_AUTO_TEST_SUITE_END()
