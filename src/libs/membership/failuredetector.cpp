#include "membership/failuredetector.h"

#include <algorithm>
#include <cmath>

namespace ebony::membership {

namespace {

constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double MeanFactor = 2.0;
constexpr double DeviationFactor = 4.0;

} // namespace

FailureDetector::FailureDetector(const MembershipSettings &Settings)
    : Shortest_(Settings.ShortestSilence_), Longest_(Settings.LongestSilence_),
      MeanGap_(base::toSeconds(Settings.HeartbeatInterval_)),
      Deviation_(MeanGap_ / 2) {}

// The gap counts up to the arrival, not up to when the word was given, so that
// the time it takes through another relay widens the limit as well.
void FailureDetector::hear(const ProcessTime &Given, const ProcessTime &Now) {
  if (LastHeard_ && Given.Real_ <= LastHeard_->Real_)
    return;
  if (LastHeard_) {
    const double Gap = std::min(base::toSeconds(LastHeard_->silenceAt(Now)),
                                base::toSeconds(Longest_));
    Deviation_ += DeviationGain * (std::abs(Gap - MeanGap_) - Deviation_);
    MeanGap_ += MeanGain * (Gap - MeanGap_);
  }
  LastHeard_ = Given;
}

bool FailureDetector::suspects(const ProcessTime &Now) const {
  return !LastHeard_ || LastHeard_->silenceAt(Now) > limit();
}

base::Duration FailureDetector::limit() const {
  return std::clamp(
      base::fromSeconds(MeanFactor * MeanGap_ + DeviationFactor * Deviation_),
      Shortest_, Longest_);
}

} // namespace ebony::membership
