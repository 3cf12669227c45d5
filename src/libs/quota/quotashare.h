#ifndef EBONY_QUOTA_QUOTASHARE_H
#define EBONY_QUOTA_QUOTASHARE_H

#include <algorithm>
#include <cstdint>

namespace ebony::quota {

/// Number of parts that a customer's rate and its burst are each divided into.
inline constexpr std::int64_t WholeParts = std::int64_t(1) << 20;

/// Numbers of parts of a customer's rate and of its burst; negative values may
/// occur in differences.
class QuotaShare {
public:
  constexpr QuotaShare() = default;
  constexpr QuotaShare(std::int64_t RateParts, std::int64_t BurstParts)
      : RateParts_(RateParts), BurstParts_(BurstParts) {}

  constexpr std::int64_t rateParts() const { return RateParts_; }
  constexpr std::int64_t burstParts() const { return BurstParts_; }

  /// Returns the rate parts plus the burst parts.
  constexpr std::int64_t sum() const { return RateParts_ + BurstParts_; }

  constexpr bool isEmpty() const { return RateParts_ <= 0 && BurstParts_ <= 0; }

  friend constexpr QuotaShare operator+(QuotaShare A, QuotaShare B) {
    return {A.RateParts_ + B.RateParts_, A.BurstParts_ + B.BurstParts_};
  }
  friend constexpr QuotaShare operator-(QuotaShare A, QuotaShare B) {
    return {A.RateParts_ - B.RateParts_, A.BurstParts_ - B.BurstParts_};
  }
  friend constexpr bool operator==(QuotaShare, QuotaShare) = default;

  /// Returns the minimum of both, separately for rate and burst.
  static constexpr QuotaShare smaller(QuotaShare A, QuotaShare B) {
    return {std::min(A.RateParts_, B.RateParts_),
            std::min(A.BurstParts_, B.BurstParts_)};
  }

  /// Returns \p A with negative values replaced by zero.
  static constexpr QuotaShare atLeastZero(QuotaShare A) {
    return {std::max<std::int64_t>(A.RateParts_, 0),
            std::max<std::int64_t>(A.BurstParts_, 0)};
  }

private:
  std::int64_t RateParts_ = 0;
  std::int64_t BurstParts_ = 0;
};

} // namespace ebony::quota

#endif
