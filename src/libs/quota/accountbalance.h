#ifndef EBONY_QUOTA_ACCOUNTBALANCE_H
#define EBONY_QUOTA_ACCOUNTBALANCE_H

#include "base/name.h"
#include "quota/quotaholding.h"

namespace ebony::quota {

/// Parts of one customer's quota that a VM has sent to a departed VM, minus
/// those it has received from it.
class AccountBalance {
public:
  AccountBalance(base::CustomerName Customer, QuotaHolding Balance)
      : Customer_(std::move(Customer)), Balance_(Balance) {}

  const base::CustomerName &customer() const { return Customer_; }
  QuotaHolding balance() const { return Balance_; }

  friend bool operator==(const AccountBalance &,
                         const AccountBalance &) = default;

private:
  base::CustomerName Customer_;
  QuotaHolding Balance_;
};

} // namespace ebony::quota

#endif
