#ifndef EBONY_QUOTA_QUOTALIMITS_H
#define EBONY_QUOTA_QUOTALIMITS_H

#include "quota/quotashare.h"

#include <cstdint>

namespace ebony::quota {

/// Number of tokens; one token is a millionth of a request.
using Tokens = std::int64_t;

/// Tokens that one request costs.
inline constexpr Tokens TokensPerRequest = 1'000'000;

/// A customer's fleet-wide limits as of one configuration revision.
class QuotaLimits {
public:
  /// \p Rate is in tokens per second, \p Burst in tokens.
  constexpr QuotaLimits(std::int64_t Revision, Tokens Rate, Tokens Burst)
      : Revision_(Revision), Rate_(Rate), Burst_(Burst) {}

  constexpr std::int64_t revision() const { return Revision_; }
  constexpr Tokens rate() const { return Rate_; }
  constexpr Tokens burst() const { return Burst_; }

  /// Returns the maximum number of tokens that \p BurstParts may hold.
  constexpr Tokens capacityOf(std::int64_t BurstParts) const {
    return Tokens(__int128(Burst_) * BurstParts / WholeParts);
  }

  friend constexpr bool operator==(QuotaLimits, QuotaLimits) = default;

private:
  std::int64_t Revision_;
  Tokens Rate_;
  Tokens Burst_;
};

} // namespace ebony::quota

#endif
