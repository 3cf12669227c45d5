#ifndef EBONY_QUOTA_LOANRETURN_H
#define EBONY_QUOTA_LOANRETURN_H

#include "quota/quotalimits.h"
#include "quota/quotaroute.h"

namespace ebony::quota {

/// Returns a loan, and tokens with it, to its lender before the lease ends.
class LoanReturn {
public:
  LoanReturn(QuotaRoute Route, std::int64_t Number, Tokens TokenCount)
      : Route_(std::move(Route)), Number_(Number), Tokens_(TokenCount) {}

  const QuotaRoute &route() const { return Route_; }
  std::int64_t number() const { return Number_; }
  Tokens tokens() const { return Tokens_; }

  friend bool operator==(const LoanReturn &, const LoanReturn &) = default;

private:
  QuotaRoute Route_;
  std::int64_t Number_;
  Tokens Tokens_;
};

} // namespace ebony::quota

#endif
