#ifndef EBONY_QUOTA_LOANREQUEST_H
#define EBONY_QUOTA_LOANREQUEST_H

#include "quota/quotalimits.h"
#include "quota/quotaroute.h"

namespace ebony::quota {

/// Requests a loan, or the renewal of one, from a VM of another zone.
class LoanRequest {
public:
  /// \p Number is unique among the loans of the borrower's incarnation; \p
  /// Attempt is zero for a new loan and grows with each renewal.
  LoanRequest(QuotaRoute Route, std::int64_t Number, std::int64_t Attempt,
              QuotaShare Wanted, Tokens WantedTokens)
      : Route_(std::move(Route)), Number_(Number), Attempt_(Attempt),
        Wanted_(Wanted), WantedTokens_(WantedTokens) {}

  const QuotaRoute &route() const { return Route_; }
  std::int64_t number() const { return Number_; }
  std::int64_t attempt() const { return Attempt_; }
  QuotaShare wanted() const { return Wanted_; }
  Tokens wantedTokens() const { return WantedTokens_; }

  friend bool operator==(const LoanRequest &, const LoanRequest &) = default;

private:
  QuotaRoute Route_;
  std::int64_t Number_;
  std::int64_t Attempt_;
  QuotaShare Wanted_;
  Tokens WantedTokens_;
};

} // namespace ebony::quota

#endif
