#include "quota/tokenbucket.h"

#include <algorithm>

namespace ebony::quota {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;
constexpr std::int64_t MillionPpm = 1'000'000;

} // namespace

void TokenBucket::refill(base::TimePoint Until, const QuotaLimits &Limits,
                         std::int64_t RateParts, Tokens Capacity) {
  if (Until > RefilledAt_) {
    const __int128 Span = (Until - RefilledAt_).count();
    // The remainder is carried over, so that many short refills yield as much
    // as one long refill and never more.
    const __int128 Yield =
        Span * Limits.rate() * RateParts * (MillionPpm - DriftPpm_) +
        Remainder_;
    constexpr __int128 PerToken =
        __int128(MicrosPerSecond) * WholeParts * MillionPpm;
    Level_ += Tokens(Yield / PerToken);
    Remainder_ = Yield % PerToken;
    RefilledAt_ = Until;
  }
  Level_ = std::min(Level_, Capacity);
}

bool TokenBucket::take(Tokens Amount) {
  if (Level_ < Amount)
    return false;
  Level_ -= Amount;
  return true;
}

void TokenBucket::add(Tokens Amount, Tokens Capacity) {
  Level_ = std::min(Level_ + Amount, Capacity);
}

} // namespace ebony::quota
