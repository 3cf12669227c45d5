#ifndef EBONY_TRAFFIC_QUOTAPLANNER_H
#define EBONY_TRAFFIC_QUOTAPLANNER_H

#include "traffic/membertable.h"
#include "traffic/quotaplan.h"
#include "traffic/trafficrules.h"

#include <optional>

namespace ebony::traffic {

/// Computes the next quota plan from the demand that the VMs report. The first
/// live VM by name plans. If two VMs consider themselves first, the store's
/// conditional write lets one succeed.
class QuotaPlanner {
public:
  /// A VM without reports keeps its shares for \p MemberTimeout.
  explicit QuotaPlanner(base::Duration MemberTimeout)
      : MemberTimeout_(MemberTimeout) {}

  /// Returns a new plan if the current one does not match the demand or the
  /// live VMs, else std::nullopt. \p OwnReport is this VM's own report.
  std::optional<QuotaPlan> planNext(const QuotaPlan &Current,
                                    const TrafficRules &Rules,
                                    const MemberReport &OwnReport,
                                    const MemberTable &Members,
                                    base::TimePoint Now);

private:
  base::Duration MemberTimeout_;
  std::map<std::string, base::TimePoint> LastLive_;
};

} // namespace ebony::traffic

#endif
