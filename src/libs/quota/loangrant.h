#ifndef EBONY_QUOTA_LOANGRANT_H
#define EBONY_QUOTA_LOANGRANT_H

#include "quota/quotalimits.h"
#include "quota/quotaroute.h"

namespace ebony::quota {

/// Answer to a loan request; an empty share means refusal.
class LoanGrant {
public:
  LoanGrant(QuotaRoute Route, std::int64_t Number, std::int64_t Attempt,
            QuotaShare Share, Tokens TokenCount, QuotaShare Spare)
      : Route_(std::move(Route)), Number_(Number), Attempt_(Attempt),
        Share_(Share), Tokens_(TokenCount), Spare_(Spare) {}

  const QuotaRoute &route() const { return Route_; }
  std::int64_t number() const { return Number_; }
  std::int64_t attempt() const { return Attempt_; }
  QuotaShare share() const { return Share_; }
  Tokens tokens() const { return Tokens_; }

  /// Further parts that the sender could lend; a hint.
  QuotaShare spare() const { return Spare_; }

  friend bool operator==(const LoanGrant &, const LoanGrant &) = default;

private:
  QuotaRoute Route_;
  std::int64_t Number_;
  std::int64_t Attempt_;
  QuotaShare Share_;
  Tokens Tokens_;
  QuotaShare Spare_;
};

} // namespace ebony::quota

#endif
