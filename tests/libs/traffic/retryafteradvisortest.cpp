#include "traffic/retryafteradvisor.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

/// Some slots, a queue that takes in what is served within the objective, and
/// callers who come back once.
class Peak {
public:
  using Advice = std::function<base::Duration(bool IsRefused, base::Duration,
                                              base::TimePoint)>;

  explicit Peak(Advice Advise) : Advise_(std::move(Advise)) {}

  void play() {
    base::RandomEngine Random(11);
    for (base::Duration Time{}; Time < 20s; Time += 1ms) {
      const base::TimePoint Now = at(Time);
      // 2.5 times the capacity for six seconds, a third of it afterwards.
      const double PerMs =
          (Time < 6s ? 2.5 : 0.33) * Slots / base::toSeconds(Work) / 1000;
      if (Random.chance(PerMs))
        arrive(Now, true);
      while (!Returning_.empty() && Returning_.top() <= Now) {
        Returning_.pop();
        arrive(Now, false);
      }
    }
  }

  int Callers_ = 0;
  int Served_ = 0;
  int RefusedTwice_ = 0;

private:
  static constexpr int Slots = 40;
  static constexpr base::Duration Work = 400ms;
  static constexpr base::Duration Objective = 600ms;
  static constexpr base::Duration Deadline = 5s;

  void arrive(base::TimePoint Now, bool IsFirst) {
    Callers_ += IsFirst ? 1 : 0;
    std::erase_if(Busy_, [Now](base::TimePoint End) { return End <= Now; });
    const bool IsFree = Busy_.size() < Slots;
    const base::Duration Spare = Objective - Work;
    const std::size_t MostWaiting = static_cast<std::size_t>(
        Slots * base::toSeconds(Spare) / base::toSeconds(Work));
    if (IsFree || Busy_.size() < Slots + MostWaiting) {
      ++Served_;
      Busy_.push_back(Now + (IsFree ? Work : Objective));
      Advise_(false, {}, Now);
      return;
    }
    const base::Duration Advice = Advise_(true, Spare, Now);
    if (IsFirst)
      Returning_.push(Now + std::min<base::Duration>(Advice, Deadline / 3));
    else
      ++RefusedTwice_;
  }

  Advice Advise_;
  std::vector<base::TimePoint> Busy_;
  std::priority_queue<base::TimePoint, std::vector<base::TimePoint>,
                      std::greater<>>
      Returning_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(retryafteradvisortest)

// Six seconds of more than twice the capacity: callers who are told to come
// back late are refused a second time less often than those who come soon.
BOOST_AUTO_TEST_CASE(inALastingPeakCallersComeBackLate) {
  RetryAfterAdvisor Own{base::RandomEngine(1)};
  Peak Advised(
      [&Own](bool IsRefused, base::Duration Surplus, base::TimePoint Now) {
        Own.recordDecision(IsRefused, Now);
        return Own.computeRetryAfter(Surplus, 5s, Now);
      });
  Advised.play();
  base::RandomEngine Random(2);
  Peak Soon([&Random](bool, base::Duration Surplus, base::TimePoint) {
    return base::fromSeconds(base::toSeconds(Surplus) *
                             (0.75 + 0.75 * Random.unit()));
  });
  Soon.play();
  BOOST_TEST_MESSAGE("served " << Advised.Served_ << " of " << Advised.Callers_
                               << ", refused twice " << Advised.RefusedTwice_
                               << "; soon: served " << Soon.Served_
                               << ", refused twice " << Soon.RefusedTwice_);
  BOOST_TEST(Advised.Callers_ == Soon.Callers_);
  BOOST_TEST(Advised.RefusedTwice_ < Soon.RefusedTwice_);
  BOOST_TEST(Advised.Served_ > Soon.Served_);
}

BOOST_AUTO_TEST_CASE(aSingleRefusalIsAdvisedToComeSoon) {
  RetryAfterAdvisor Own{base::RandomEngine(1)};
  for (int I = 0; I < 50; ++I)
    Own.recordDecision(false, at(I * 20ms));
  Own.recordDecision(true, at(1s));
  const base::Duration Advice = Own.computeRetryAfter(200ms, 5s, at(1s));
  BOOST_TEST((Advice >= 150ms));
  BOOST_TEST((Advice <= 600ms));
}

BOOST_AUTO_TEST_CASE(theAdviceLeavesTimeForTheAnswer) {
  RetryAfterAdvisor Own{base::RandomEngine(1)};
  for (int I = 0; I < 500; ++I) {
    Own.recordDecision(true, at(I * 10ms));
    BOOST_TEST((Own.computeRetryAfter(5s, 1500ms, at(I * 10ms)) <= 500ms));
    BOOST_TEST((Own.computeRetryAfter(60s, 25s, at(I * 10ms)) <= 3s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
