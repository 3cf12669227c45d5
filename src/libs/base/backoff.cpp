#include "base/backoff.h"

#include <algorithm>

namespace ebony::base {

Backoff::Backoff(Duration First, Duration Longest, RandomEngine Random)
    : First_(First), Longest_(Longest), Random_(Random) {}

Duration Backoff::next() {
  constexpr unsigned MaxDoublings = 20;
  const Duration Ceiling = std::min<Duration>(
      Longest_,
      First_ * (std::int64_t{1} << std::min(Attempts_, MaxDoublings)));
  ++Attempts_;
  const auto Span = static_cast<std::uint64_t>(Ceiling.count());
  return Duration(Random_.below(Span) + 1);
}

} // namespace ebony::base
