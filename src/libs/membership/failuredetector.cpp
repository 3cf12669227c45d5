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
    : MinTimeout_(Settings.MinSuspicionTimeout_),
      MaxTimeout_(Settings.MaxSuspicionTimeout_),
      MeanGap_(base::toSeconds(Settings.HeartbeatInterval_)),
      Deviation_(MeanGap_ / 2) {}

// The gap ends at the arrival, not when the VM was alive, so that the delay
// through another relay raises the timeout as well.
void FailureDetector::recordHeartbeat(const ProcessTime &AliveAt,
                                      const ProcessTime &Now) {
  if (LastHeartbeat_ && AliveAt.Real_ <= LastHeartbeat_->Real_)
    return;
  if (LastHeartbeat_) {
    const double Gap =
        std::min(base::toSeconds(LastHeartbeat_->runningAgeAt(Now)),
                 base::toSeconds(MaxTimeout_));
    Deviation_ += DeviationGain * (std::abs(Gap - MeanGap_) - Deviation_);
    MeanGap_ += MeanGain * (Gap - MeanGap_);
  }
  LastHeartbeat_ = AliveAt;
}

bool FailureDetector::isSuspected(const ProcessTime &Now) const {
  return !LastHeartbeat_ ||
         LastHeartbeat_->runningAgeAt(Now) > suspicionTimeout();
}

base::Duration FailureDetector::suspicionTimeout() const {
  return std::clamp(
      base::fromSeconds(MeanFactor * MeanGap_ + DeviationFactor * Deviation_),
      MinTimeout_, MaxTimeout_);
}

} // namespace ebony::membership
