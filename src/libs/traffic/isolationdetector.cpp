#include "traffic/isolationdetector.h"

#include "traffic/reportpace.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Shortest time without a report after which a VM counts as not heard; longer
// than the interval of reports between regions in a small fleet.
constexpr base::Duration MinSilence = std::chrono::milliseconds(700);

// Time for which a VM that fell silent may be in touch with the store, apart
// from this one; one that ended is replaced or back by then.
constexpr base::Duration SilentVmMemory = std::chrono::seconds(10);

// One in so many VMs may be silent without a partition: datagrams get lost, and
// the next report of a VM takes as long as the first.
constexpr std::size_t VmsPerLostReport = 20;
constexpr int SilenceInTenthsOfInterval = 15;

// Age of the news of the store above which a VM may be isolated. One that hears
// few others reads the store itself, more often than that.
constexpr base::Duration MaxNewsAge = std::chrono::milliseconds(1100);

} // namespace

bool IsolationDetector::update(const MemberTable &Members,
                               base::Duration NewsAge, base::TimePoint Now) {
  ExpectedCount_ = Members.sharingNames(Now).size();
  const base::Duration Silence =
      std::max(MinSilence, reportIntervalToOtherRegions(ExpectedCount_));
  HeardCount_ = Members.countHeardSince(Now - Silence);
  // This VM counts as heard: half of a fleet of two is one.
  HearsFewVms_ =
      ExpectedCount_ > 0 && 2 * (HeardCount_ + 1) <= ExpectedCount_ + 1;
  SilentCount_ = Members.countSilent(
      Now - SilentVmMemory, Now - Silence * SilenceInTenthsOfInterval / 10);
  const bool IsPartitioned =
      HearsFewVms_ || SilentCount_ > ExpectedCount_ / VmsPerLostReport;
  const bool WasIsolated = IsIsolated_;
  IsIsolated_ = IsPartitioned && NewsAge > MaxNewsAge;
  return IsIsolated_ != WasIsolated;
}

} // namespace ebony::traffic
