#include "traffic/returnadvice.h"
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

/// Simulates a service with a fixed number of slots, a queue that admits what
/// is served within the objective, and callers that retry once.
class OverloadSimulation {
public:
  using RetryAfterFunction = std::function<base::Duration(
      bool IsRefused, base::Duration, base::TimePoint)>;

  explicit OverloadSimulation(RetryAfterFunction RetryAfter)
      : RetryAfter_(std::move(RetryAfter)) {}

  void run() {
    base::RandomEngine Random(11);
    for (base::Duration Time{}; Time < 20s; Time += 1ms) {
      const base::TimePoint Now = at(Time);
      // 2.5 times the capacity for 6 s, a third of it afterwards.
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
      RetryAfter_(false, {}, Now);
      return;
    }
    const base::Duration Advice = RetryAfter_(true, Spare, Now);
    if (IsFirst)
      Returning_.push(Now + std::min<base::Duration>(Advice, Deadline / 3));
    else
      ++RefusedTwice_;
  }

  RetryAfterFunction RetryAfter_;
  std::vector<base::TimePoint> Busy_;
  std::priority_queue<base::TimePoint, std::vector<base::TimePoint>,
                      std::greater<>>
      Returning_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(returnadvicetest)

// During 6 s of more than twice the capacity, callers that retry late are
// refused again less often than callers that retry soon.
BOOST_AUTO_TEST_CASE(sustainedOverloadLengthensRetryAfter) {
  ReturnAdvice Advisor{base::RandomEngine(1)};
  OverloadSimulation Advised(
      [&Advisor](bool IsRefused, base::Duration Surplus, base::TimePoint Now) {
        Advisor.recordDecision(IsRefused, Now);
        return Advisor.computeRetryAfter(Surplus, 5s, Now);
      });
  Advised.run();
  base::RandomEngine Random(2);
  OverloadSimulation ShortDelay(
      [&Random](bool, base::Duration Surplus, base::TimePoint) {
        return base::fromSeconds(base::toSeconds(Surplus) *
                                 (0.75 + 0.75 * Random.unit()));
      });
  ShortDelay.run();
  BOOST_TEST_MESSAGE("served " << Advised.Served_ << " of " << Advised.Callers_
                               << ", refused twice " << Advised.RefusedTwice_
                               << "; soon: served " << ShortDelay.Served_
                               << ", refused twice "
                               << ShortDelay.RefusedTwice_);
  BOOST_TEST(Advised.Callers_ == ShortDelay.Callers_);
  BOOST_TEST(Advised.RefusedTwice_ < ShortDelay.RefusedTwice_);
  BOOST_TEST(Advised.Served_ > ShortDelay.Served_);
}

BOOST_AUTO_TEST_CASE(isolatedRefusalGetsShortRetryAfter) {
  ReturnAdvice Advisor{base::RandomEngine(1)};
  for (int I = 0; I < 50; ++I)
    Advisor.recordDecision(false, at(I * 20ms));
  Advisor.recordDecision(true, at(1s));
  const base::Duration Advice = Advisor.computeRetryAfter(200ms, 5s, at(1s));
  BOOST_TEST((Advice >= 150ms));
  BOOST_TEST((Advice <= 600ms));
}

BOOST_AUTO_TEST_CASE(retryAfterLeavesTimeForAnswer) {
  ReturnAdvice Advisor{base::RandomEngine(1)};
  for (int I = 0; I < 500; ++I) {
    Advisor.recordDecision(true, at(I * 10ms));
    BOOST_TEST((Advisor.computeRetryAfter(5s, 1500ms, at(I * 10ms)) <= 500ms));
    BOOST_TEST((Advisor.computeRetryAfter(60s, 25s, at(I * 10ms)) <= 3s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
