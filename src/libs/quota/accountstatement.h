#ifndef EBONY_QUOTA_ACCOUNTSTATEMENT_H
#define EBONY_QUOTA_ACCOUNTSTATEMENT_H

#include "base/vmidentity.h"
#include "quota/accountbalance.h"

#include <vector>

namespace ebony::quota {

/// Final balances of one VM's accounts with a departed VM, addressed to the VM
/// that takes over the departed VM's parts. A customer that is not listed has a
/// balance of zero.
class AccountStatement {
public:
  AccountStatement(base::VmIdentity From, base::VmIdentity To,
                   base::VmIdentity Departed,
                   std::vector<AccountBalance> Balances)
      : From_(std::move(From)), To_(std::move(To)),
        Departed_(std::move(Departed)), Balances_(std::move(Balances)) {}

  const base::VmIdentity &from() const { return From_; }
  const base::VmIdentity &to() const { return To_; }
  const base::VmIdentity &departed() const { return Departed_; }
  const std::vector<AccountBalance> &balances() const { return Balances_; }

  /// Returns the balance for \p Customer.
  QuotaHolding balance(const base::CustomerName &Customer) const {
    QuotaHolding Sum;
    for (const AccountBalance &Balance : Balances_)
      if (Balance.customer() == Customer)
        Sum = Sum + Balance.balance();
    return Sum;
  }

  friend bool operator==(const AccountStatement &,
                         const AccountStatement &) = default;

private:
  base::VmIdentity From_;
  base::VmIdentity To_;
  base::VmIdentity Departed_;
  std::vector<AccountBalance> Balances_;
};

} // namespace ebony::quota

#endif
