#ifndef EBONY_QUOTA_QUOTAROUTE_H
#define EBONY_QUOTA_QUOTAROUTE_H

#include "base/vmidentity.h"

namespace ebony::quota {

/// Sender, receiver and customer of a quota message.
class QuotaRoute {
public:
  QuotaRoute(base::VmIdentity From, base::VmIdentity To,
             base::CustomerName Customer)
      : From_(std::move(From)), To_(std::move(To)),
        Customer_(std::move(Customer)) {}

  const base::VmIdentity &from() const { return From_; }
  const base::VmIdentity &to() const { return To_; }
  const base::CustomerName &customer() const { return Customer_; }

  /// Returns the route of an answer.
  QuotaRoute reversed() const { return {To_, From_, Customer_}; }

  friend bool operator==(const QuotaRoute &, const QuotaRoute &) = default;

private:
  base::VmIdentity From_;
  base::VmIdentity To_;
  base::CustomerName Customer_;
};

} // namespace ebony::quota

#endif
