#ifndef EBONY_QUOTA_TOKENBUCKET_H
#define EBONY_QUOTA_TOKENBUCKET_H

#include "base/time.h"
#include "quota/quotalimits.h"

namespace ebony::quota {

/// Token bucket of one VM for one customer; initially empty.
class TokenBucket {
public:
  /// The refill is reduced by \p DriftPpm parts per million, to allow for a
  /// clock that runs fast by as much.
  TokenBucket(base::TimePoint Start, std::int64_t DriftPpm)
      : RefilledAt_(Start), DriftPpm_(DriftPpm) {}

  /// Adds the tokens that \p RateParts yield up to \p Until, and limits the
  /// level to \p Capacity. A time before the last refill adds nothing.
  void refill(base::TimePoint Until, const QuotaLimits &Limits,
              std::int64_t RateParts, Tokens Capacity);

  /// Takes \p Amount tokens. Returns false, and takes none, if there are fewer.
  bool take(Tokens Amount);

  /// Adds \p Amount tokens and limits the level to \p Capacity.
  void add(Tokens Amount, Tokens Capacity);

  Tokens level() const { return Level_; }
  base::TimePoint refilledAt() const { return RefilledAt_; }

private:
  base::TimePoint RefilledAt_;
  std::int64_t DriftPpm_;
  Tokens Level_ = 0;
  __int128 Remainder_ = 0;
};

} // namespace ebony::quota

#endif
