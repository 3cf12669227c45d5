#ifndef EBONY_TRAFFIC_QUOTAPLAN_H
#define EBONY_TRAFFIC_QUOTAPLAN_H

#include "base/name.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace ebony::traffic {

/// Part of a customer's rate and burst that one VM may use.
struct VmQuotaShare {
  /// In force once all holders of the plan before have taken this one up.
  double Share_ = 0;
  /// The lesser of this plan and the one before; in force at once.
  double TransitionShare_ = 0;

  friend bool operator==(const VmQuotaShare &, const VmQuotaShare &) = default;
};

using QuotaShares = std::map<std::string, VmQuotaShare>;

/// How the customers' rates are divided between the VMs; kept in the store,
/// where each version replaces the one before under a condition.
struct QuotaPlan {
  std::int64_t Version_ = 0;
  std::map<base::CustomerName, QuotaShares> Customers_;
  /// All VMs that hold a share in this plan or held one in the plan before: a
  /// VM that starts has to wait for the latter too.
  std::set<std::string> Vms_;

  /// VMs that hold a share of any customer in this plan.
  std::set<std::string> holders() const;

  friend bool operator==(const QuotaPlan &, const QuotaPlan &) = default;
};

} // namespace ebony::traffic

#endif
