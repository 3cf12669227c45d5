#ifndef EBONY_QUOTA_ACCOUNTSTATEMENT_H
#define EBONY_QUOTA_ACCOUNTSTATEMENT_H

#include "base/vmidentity.h"
#include "quota/accountbalance.h"

#include <vector>

namespace ebony::quota {

/// All accounts of one VM with a VM that is gone, closed for good in favour of
/// the receiver. Customers that are not named have a net of nothing.
class AccountStatement {
public:
  AccountStatement(base::VmIdentity From, base::VmIdentity To,
                   base::VmIdentity Gone, std::vector<AccountNet> Nets)
      : From_(std::move(From)), To_(std::move(To)), Gone_(std::move(Gone)),
        Nets_(std::move(Nets)) {}

  const base::VmIdentity &from() const { return From_; }
  const base::VmIdentity &to() const { return To_; }
  const base::VmIdentity &gone() const { return Gone_; }
  const std::vector<AccountNet> &nets() const { return Nets_; }

  /// Net for \p Customer.
  QuotaHolding net(const base::CustomerName &Customer) const {
    QuotaHolding Sum;
    for (const AccountNet &One : Nets_)
      if (One.customer() == Customer)
        Sum = Sum + One.net();
    return Sum;
  }

  friend bool operator==(const AccountStatement &,
                         const AccountStatement &) = default;

private:
  base::VmIdentity From_;
  base::VmIdentity To_;
  base::VmIdentity Gone_;
  std::vector<AccountNet> Nets_;
};

} // namespace ebony::quota

#endif
