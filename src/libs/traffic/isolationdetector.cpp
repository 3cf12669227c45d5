#include "traffic/isolationdetector.h"

#include "traffic/reportpace.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Shortest time without a report after which a VM counts as not heard; longer
// than the interval of reports between regions in a small fleet.
constexpr base::Duration MinSilence = std::chrono::milliseconds(700);

// Age of the news of the store above which a VM that hears few others is
// isolated. Such a VM reads the store itself, more often than that.
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
  const bool WasIsolated = IsIsolated_;
  IsIsolated_ = HearsFewVms_ && NewsAge > MaxNewsAge;
  return IsIsolated_ != WasIsolated;
}

} // namespace ebony::traffic
