#ifndef EBONY_TRAFFIC_QUOTAPLANNER_H
#define EBONY_TRAFFIC_QUOTAPLANNER_H

#include "traffic/membertable.h"
#include "traffic/quotaplan.h"
#include "traffic/trafficrules.h"

#include <optional>

namespace ebony::traffic {

/// Works out the next division of the customers' rates from what the VMs tell
/// of demand. Of the live VMs, the first by name plans; the store's condition
/// decides where two think so.
class QuotaPlanner {
public:
  /// A VM keeps its shares for \p MemberTimeout of silence.
  explicit QuotaPlanner(base::Duration MemberTimeout)
      : MemberTimeout_(MemberTimeout) {}

  /// A new plan when the present one fits the demand badly or names other VMs
  /// than those alive; nothing otherwise. \p Own is this VM's own report.
  std::optional<QuotaPlan> planNext(const QuotaPlan &Present,
                                    const TrafficRules &Rules,
                                    const MemberReport &Own,
                                    const MemberTable &Members,
                                    base::TimePoint Now);

private:
  base::Duration MemberTimeout_;
  std::map<std::string, base::TimePoint> LastLive_;
};

} // namespace ebony::traffic

#endif
