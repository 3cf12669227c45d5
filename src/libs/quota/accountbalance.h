#ifndef EBONY_QUOTA_ACCOUNTBALANCE_H
#define EBONY_QUOTA_ACCOUNTBALANCE_H

#include "base/name.h"
#include "quota/quotaholding.h"

namespace ebony::quota {

/// What a VM has given of one customer's parts to a VM that is gone, less what
/// it got from it.
class AccountNet {
public:
  AccountNet(base::CustomerName Customer, QuotaHolding Net)
      : Customer_(std::move(Customer)), Net_(Net) {}

  const base::CustomerName &customer() const { return Customer_; }
  QuotaHolding net() const { return Net_; }

  friend bool operator==(const AccountNet &, const AccountNet &) = default;

private:
  base::CustomerName Customer_;
  QuotaHolding Net_;
};

} // namespace ebony::quota

#endif
