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
constexpr base::Duration Length = 30s;

struct Row {
  long Claims_ = 0;
  long Writes_ = 0;
  double WaitSeconds_ = 0;
};

// One VM in virtual time: claims come at random, each call takes the latency of
// a table service in another region.
Row run(base::Duration Window, double ClaimsPerSecond) {
  base::RandomEngine Random(1);
  ClaimBatcher Batcher({Window, 256, 8, 16});
  std::multimap<base::TimePoint, ClaimCall> UnderWay;
  std::map<std::string, base::TimePoint> Asked;
  Row Sum;
  const idempotency::SubmissionOwner Self(base::VmAddress("127.1.1.1"), 1);
  long Next = 0;
  for (base::TimePoint Now; Now < base::TimePoint(Length); Now += Step) {
    double Due = ClaimsPerSecond * base::toSeconds(Step);
    while (Due > 0) {
      const bool Comes = Random.chance(Due);
      Due -= 1;
      if (!Comes)
        continue;
      const std::string Key = std::to_string(++Next);
      Asked.emplace(Key, Now);
      Batcher.add({Key, {Self, 1}, Now + 5s}, Now);
    }
    while (!UnderWay.empty() && UnderWay.begin()->first <= Now) {
      Batcher.recordCommitted(UnderWay.begin()->second.Id_);
      UnderWay.erase(UnderWay.begin());
    }
    while (const auto Call = Batcher.nextCall(Now)) {
      ++Sum.Writes_;
      UnderWay.emplace(Now + TableLatency, *Call);
    }
    for (const auto &Result : Batcher.takeResults(Now)) {
      ++Sum.Claims_;
      Sum.WaitSeconds_ += base::toSeconds(Now - Asked.at(Result.RowKey_));
    }
  }
  return Sum;
}

} // namespace

void benchClaims() {
  std::puts("window ms | offered claims/s | writes/s | claims/write | mean "
            "wait ms");
  for (const base::Duration Window : {0ms, 5ms, 20ms, 50ms, 100ms})
    for (const double Rate : {20.0, 200.0, 2000.0}) {
      const Row Sum = run(Window, Rate);
      std::printf("%ld | %.0f | %.1f | %.1f | %.1f\n",
                  static_cast<long>(Window.count() / 1000), Rate,
                  static_cast<double>(Sum.Writes_) / base::toSeconds(Length),
                  static_cast<double>(Sum.Claims_) /
                      static_cast<double>(Sum.Writes_),
                  1000 * Sum.WaitSeconds_ / static_cast<double>(Sum.Claims_));
    }
}

} // namespace ebony::benchonce
