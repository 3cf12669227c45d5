#ifndef EBONY_TRAFFIC_QUOTAPLAN_H
#define EBONY_TRAFFIC_QUOTAPLAN_H

#include "base/name.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace ebony::traffic {

/// Fraction of a customer's rate and burst that one VM may use.
struct VmQuotaShare {
  /// Applies once all holders of the previous plan have applied this one.
  double Share_ = 0;
  /// The lower of this plan's and the previous plan's share; applies at once.
  double TransitionShare_ = 0;

  friend bool operator==(const VmQuotaShare &, const VmQuotaShare &) = default;
};

using QuotaShares = std::map<std::string, VmQuotaShare>;

/// Division of the customers' rates between the VMs. Stored in a row that is
/// replaced by a conditional write, so that concurrent planners do not
/// overwrite each other.
struct QuotaPlan {
  std::int64_t Version_ = 0;
  std::map<base::CustomerName, QuotaShares> Customers_;
  /// All VMs that hold a share in this plan or the previous one. A VM that
  /// starts has to wait for the former holders, too.
  std::set<std::string> Vms_;

  /// Returns the VMs that hold a share of any customer in this plan.
  std::set<std::string> holders() const;

  friend bool operator==(const QuotaPlan &, const QuotaPlan &) = default;
};

} // namespace ebony::traffic

#endif
