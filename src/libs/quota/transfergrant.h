#ifndef EBONY_QUOTA_TRANSFERGRANT_H
#define EBONY_QUOTA_TRANSFERGRANT_H

#include "quota/quotaholding.h"
#include "quota/quotalimits.h"
#include "quota/quotaroute.h"

namespace ebony::quota {

/// Cumulative totals that the sender's incarnation has transferred to the
/// receiver's incarnation. Totals only grow, so a duplicated, late or reordered
/// grant adds nothing, and the next grant makes up for a lost one.
class TransferGrant {
public:
  TransferGrant(QuotaRoute Route, QuotaHolding TotalParts, Tokens TotalTokens,
                QuotaShare Spare)
      : Route_(std::move(Route)), TotalParts_(TotalParts),
        TotalTokens_(TotalTokens), Spare_(Spare) {}

  const QuotaRoute &route() const { return Route_; }
  QuotaHolding totalParts() const { return TotalParts_; }
  Tokens totalTokens() const { return TotalTokens_; }

  /// Further parts that the sender could transfer; a hint.
  QuotaShare spare() const { return Spare_; }

  friend bool operator==(const TransferGrant &,
                         const TransferGrant &) = default;

private:
  QuotaRoute Route_;
  QuotaHolding TotalParts_;
  Tokens TotalTokens_;
  QuotaShare Spare_;
};

} // namespace ebony::quota

#endif
