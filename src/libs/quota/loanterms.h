#ifndef EBONY_QUOTA_LOANTERMS_H
#define EBONY_QUOTA_LOANTERMS_H

#include "base/time.h"

#include <cstdint>

namespace ebony::quota {

/// Duration of a loan between zones, for the borrower and for the lender.
class LoanTerms {
public:
  /// \p LeaseDuration is how long the borrower may use the loan. \p DriftPpm is
  /// the maximum drift of any clock of the fleet against real time, in parts
  /// per million. \p Margin is what the lender waits in addition.
  constexpr LoanTerms(base::Duration LeaseDuration, std::int64_t DriftPpm,
                      base::Duration Margin)
      : LeaseDuration_(LeaseDuration), DriftPpm_(DriftPpm), Margin_(Margin) {}

  constexpr base::Duration leaseDuration() const { return LeaseDuration_; }
  constexpr std::int64_t driftPpm() const { return DriftPpm_; }

  /// Returns how long a lender, or the VM that takes over a departed lender's
  /// parts, waits by its own clock before it treats a loan as ended.
  constexpr base::Duration reclaimDelay() const {
    const auto Drift =
        LeaseDuration_.count() * 2 * DriftPpm_ / (MillionPpm - DriftPpm_);
    return LeaseDuration_ + base::Duration(Drift) + Margin_;
  }

  friend constexpr bool operator==(LoanTerms, LoanTerms) = default;

private:
  static constexpr std::int64_t MillionPpm = 1'000'000;

  base::Duration LeaseDuration_;
  std::int64_t DriftPpm_;
  base::Duration Margin_;
};

} // namespace ebony::quota

#endif
