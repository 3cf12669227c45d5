#include "base/randomengine.h"
#include "benches.h"
#include "idempotency/claimbatcher.h"

#include <cstdio>
#include <map>

namespace ebony::benchonce {

namespace {

using namespace std::chrono_literals;
using idempotency::Claim;
using idempotency::ClaimBatcher;
using idempotency::ClaimCall;

constexpr base::Duration TableLatency = 45ms;
constexpr base::Duration Step = 1ms;
constexpr base::Duration SimulatedTime = 30s;

struct BenchResult {
  long Claims_ = 0;
  long Writes_ = 0;
  double WaitSeconds_ = 0;
};

// Simulates one VM in virtual time. Claims arrive at random, and each call
// takes as long as one to a table service in another region.
BenchResult run(base::Duration Window, double ClaimsPerSecond) {
  base::RandomEngine Random(1);
  ClaimBatcher Batcher({Window, 256, 8, 16});
  std::multimap<base::TimePoint, ClaimCall> InFlight;
  std::map<std::string, base::TimePoint> AddedAt;
  BenchResult Totals;
  const idempotency::SubmissionOwner Self(base::VmAddress("127.1.1.1"), 1);
  long ClaimCount = 0;
  for (base::TimePoint Now; Now < base::TimePoint(SimulatedTime); Now += Step) {
    double Expected = ClaimsPerSecond * base::toSeconds(Step);
    while (Expected > 0) {
      const bool Arrives = Random.chance(Expected);
      Expected -= 1;
      if (!Arrives)
        continue;
      const std::string Key = std::to_string(++ClaimCount);
      AddedAt.emplace(Key, Now);
      Batcher.add({Key, {Self, 1}, Now + 5s}, Now);
    }
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      Batcher.recordCommitted(InFlight.begin()->second.Id_);
      InFlight.erase(InFlight.begin());
    }
    while (const auto Call = Batcher.nextCall(Now)) {
      ++Totals.Writes_;
      InFlight.emplace(Now + TableLatency, *Call);
    }
    for (const auto &Result : Batcher.takeResults(Now)) {
      ++Totals.Claims_;
      Totals.WaitSeconds_ += base::toSeconds(Now - AddedAt.at(Result.RowKey_));
    }
  }
  return Totals;
}

} // namespace

void benchClaims() {
  std::puts("window ms | offered claims/s | writes/s | claims/write | mean "
            "wait ms");
  for (const base::Duration Window : {0ms, 5ms, 20ms, 50ms, 100ms})
    for (const double Rate : {20.0, 200.0, 2000.0}) {
      const BenchResult Totals = run(Window, Rate);
      std::printf(
          "%ld | %.0f | %.1f | %.1f | %.1f\n",
          static_cast<long>(Window.count() / 1000), Rate,
          static_cast<double>(Totals.Writes_) / base::toSeconds(SimulatedTime),
          static_cast<double>(Totals.Claims_) /
              static_cast<double>(Totals.Writes_),
          1000 * Totals.WaitSeconds_ / static_cast<double>(Totals.Claims_));
    }
}

} // namespace ebony::benchonce
