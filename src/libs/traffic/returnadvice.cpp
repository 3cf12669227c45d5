#include "traffic/returnadvice.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

// Time constant for smoothing the share of refusals.
constexpr double DecaySeconds = 1.5;

// Share of refusals from which overload counts as sustained.
constexpr double SustainedRefusalShare = 0.25;

// Limits of the delay. Callers wait at most a third of the time they have left.
constexpr base::Duration MinDelay = std::chrono::milliseconds(150);
constexpr double MaxShareOfTimeLeft = 0.32;
constexpr double MaxDelaySeconds = 3.0;

// Random fraction by which the delay is shortened, so that callers do not retry
// at the same time.
constexpr double Jitter = 0.5;

double decayed(double Count, base::Duration Since) {
  return Count * std::exp(-base::toSeconds(Since) / DecaySeconds);
}

} // namespace

void ReturnAdvice::recordDecision(bool IsRefused, base::TimePoint Now) {
  Refused_ = decayed(Refused_, Now - UpdatedAt_) + (IsRefused ? 1 : 0);
  Total_ = decayed(Total_, Now - UpdatedAt_) + 1;
  UpdatedAt_ = Now;
}

base::Duration ReturnAdvice::computeRetryAfter(base::Duration Excess,
                                               base::Duration TimeLeft,
                                               base::TimePoint Now) {
  const double MaxDelay =
      std::clamp(base::toSeconds(TimeLeft) * MaxShareOfTimeLeft,
                 base::toSeconds(MinDelay), MaxDelaySeconds);
  const double ShortDelay =
      std::clamp(base::toSeconds(Excess), base::toSeconds(MinDelay), MaxDelay);
  const double OverloadLevel =
      std::min(1.0, refusedShare(Now) / SustainedRefusalShare);
  const double Delay = ShortDelay + (MaxDelay - ShortDelay) * OverloadLevel;
  return base::fromSeconds(
      std::max(base::toSeconds(MinDelay),
               Delay * (1 - Jitter + Jitter * Random_.unit())));
}

double ReturnAdvice::refusedShare(base::TimePoint Now) const {
  // Added to the total so that a few refusals under light load do not count as
  // overload.
  constexpr double PriorRequests = 2.0;
  const base::Duration Since = Now - UpdatedAt_;
  return decayed(Refused_, Since) / (decayed(Total_, Since) + PriorRequests);
}

} // namespace ebony::traffic
