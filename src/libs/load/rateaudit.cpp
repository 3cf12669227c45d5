#include "load/rateaudit.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>

namespace ebony::load {

namespace {

// Tolerance for rounding: times are whole microseconds, tokens are doubles.
constexpr double TokenSlack = 1e-6;

} // namespace

// Consumes each token as late as possible: when the request is answered, or
// when the bucket is full and would discard tokens. If any order of admissions
// keeps all requests within the bucket, this greedy order does.
int countOverRate(std::vector<AdmissionWindow> Served, double RequestsPerSecond,
                  double BurstRequests) {
  constexpr double Never = std::numeric_limits<double>::infinity();
  std::ranges::sort(Served, {}, &AdmissionWindow::Sent_);
  std::priority_queue<double, std::vector<double>, std::greater<>> Pending;
  double Tokens = BurstRequests;
  double Now = 0;
  int OverRate = 0;
  std::size_t Next = 0;
  const auto AdvanceTo = [&](double Time) {
    Tokens = std::min(BurstRequests, Tokens + (Time - Now) * RequestsPerSecond);
    Now = Time;
  };
  while (Next < Served.size() || !Pending.empty()) {
    const double NextSent =
        Next < Served.size() ? base::toSeconds(Served[Next].Sent_) : Never;
    const double EarliestAnswer = Pending.empty() ? Never : Pending.top();
    const double BucketFull =
        Pending.empty() ? Never
                        : Now + (BurstRequests - Tokens) / RequestsPerSecond;
    if (NextSent <= std::min(EarliestAnswer, BucketFull)) {
      AdvanceTo(std::max(Now, NextSent));
      Pending.push(base::toSeconds(Served[Next].Answered_));
      ++Next;
      continue;
    }
    AdvanceTo(std::min(EarliestAnswer, BucketFull));
    Pending.pop();
    if (Tokens + TokenSlack >= 1)
      Tokens -= 1;
    else
      ++OverRate;
  }
  return OverRate;
}

} // namespace ebony::load
