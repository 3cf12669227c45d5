#ifndef EBONY_QUOTA_TRANSFERACCOUNT_H
#define EBONY_QUOTA_TRANSFERACCOUNT_H

#include "quota/quotaholding.h"
#include "quota/quotalimits.h"

#include <optional>

#include "base/vmidentity.h"

namespace ebony::quota {

/// Double-entry account of one VM with one peer incarnation of its zone.
struct TransferAccount {
  QuotaHolding Sent_;
  QuotaHolding Received_;
  Tokens SentTokens_ = 0;
  Tokens ReceivedTokens_ = 0;
  /// Balances of this VM's accounts with departed VMs that the peer has
  /// claimed, minus the balances that the peer stated to this VM for departed
  /// VMs.
  QuotaHolding SettledBalance_;
  /// The VM that takes over the peer's parts; set once the peer is known to
  /// have departed. No transfers happen from then on.
  std::optional<base::VmIdentity> ClosedFor_;

  QuotaHolding balance() const { return Sent_ - Received_ + SettledBalance_; }
};

} // namespace ebony::quota

#endif
