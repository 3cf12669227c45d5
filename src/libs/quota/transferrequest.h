#ifndef EBONY_QUOTA_TRANSFERREQUEST_H
#define EBONY_QUOTA_TRANSFERREQUEST_H

#include "quota/quotalimits.h"
#include "quota/quotaroute.h"

namespace ebony::quota {

/// Requests the transfer of parts and tokens from a VM of the same zone.
class TransferRequest {
public:
  TransferRequest(QuotaRoute Route, QuotaShare Wanted, Tokens WantedTokens)
      : Route_(std::move(Route)), Wanted_(Wanted), WantedTokens_(WantedTokens) {
  }

  const QuotaRoute &route() const { return Route_; }
  QuotaShare wanted() const { return Wanted_; }
  Tokens wantedTokens() const { return WantedTokens_; }

  friend bool operator==(const TransferRequest &,
                         const TransferRequest &) = default;

private:
  QuotaRoute Route_;
  QuotaShare Wanted_;
  Tokens WantedTokens_;
};

} // namespace ebony::quota

#endif
