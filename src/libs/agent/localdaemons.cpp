#include "agent/localdaemons.h"

#include <algorithm>

namespace ebony::agent {

namespace {

constexpr base::Duration ReportExpiry = std::chrono::seconds(10);

} // namespace

LocalDaemons::LocalDaemons(const base::Clock &Clock) : Clock_(Clock) {}

void LocalDaemons::recordAppliedRevision(wire::FollowerRole::type Role,
                                         config::Revision Applied) {
  const std::lock_guard Guard(Lock_);
  Reports_[Role] = {Applied, Clock_.now()};
}

std::optional<config::Revision> LocalDaemons::lowestAppliedRevision() const {
  const std::lock_guard Guard(Lock_);
  std::optional<config::Revision> Lowest;
  for (const auto &[Role, Report] : Reports_)
    if (Clock_.now() - Report.ReportedAt_ < ReportExpiry)
      Lowest = std::min(Lowest.value_or(Report.Applied_), Report.Applied_);
  return Lowest;
}

} // namespace ebony::agent
