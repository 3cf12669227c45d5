#include "configagent/zoneprogress.h"

namespace ebony::configagent {

namespace {

constexpr base::Duration ReportLifetime = std::chrono::seconds(5);

} // namespace

// Keyed by address, so that a new incarnation replaces the old one.
void ZoneProgress::record(const MemberProgress &Progress, base::TimePoint Now) {
  Members_.insert_or_assign(Progress.Member_.address(),
                            ProgressReport{Progress, Now});
}

std::vector<MemberProgress>
ZoneProgress::recentMembers(base::TimePoint Now) const {
  std::vector<MemberProgress> Recent;
  for (const auto &[Address, Report] : Members_)
    if (Now - Report.ReportedAt_ <= ReportLifetime)
      Recent.push_back(Report.Progress_);
  return Recent;
}

} // namespace ebony::configagent
