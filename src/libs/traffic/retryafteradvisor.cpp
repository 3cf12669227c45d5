#include "traffic/retryafteradvisor.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

// Time over which the share of refusals is smoothed.
constexpr double MemorySeconds = 1.5;

// Share of refusals from which on the peak counts as lasting.
constexpr double LastingShare = 0.25;

// Bounds of the advice. Callers keep to at most a third of the time they have.
constexpr base::Duration Least = std::chrono::milliseconds(150);
constexpr double MostOfLeft = 0.32;
constexpr double MostSeconds = 3.0;

// The advice is drawn from this part of the span upwards, so that callers do
// not come back together.
constexpr double Spread = 0.5;

double faded(double Count, base::Duration Since) {
  return Count * std::exp(-base::toSeconds(Since) / MemorySeconds);
}

} // namespace

void RetryAfterAdvisor::recordDecision(bool IsRefused, base::TimePoint Now) {
  Refused_ = faded(Refused_, Now - UpdatedAt_) + (IsRefused ? 1 : 0);
  Total_ = faded(Total_, Now - UpdatedAt_) + 1;
  UpdatedAt_ = Now;
}

base::Duration RetryAfterAdvisor::computeRetryAfter(base::Duration Surplus,
                                                    base::Duration Left,
                                                    base::TimePoint Now) {
  const double Longest = std::clamp(base::toSeconds(Left) * MostOfLeft,
                                    base::toSeconds(Least), MostSeconds);
  const double Soon =
      std::clamp(base::toSeconds(Surplus), base::toSeconds(Least), Longest);
  const double Lasting = std::min(1.0, refusedShare(Now) / LastingShare);
  const double Span = Soon + (Longest - Soon) * Lasting;
  return base::fromSeconds(std::max(
      base::toSeconds(Least), Span * (1 - Spread + Spread * Random_.unit())));
}

double RetryAfterAdvisor::refusedShare(base::TimePoint Now) const {
  // A few requests of a calm moment say little.
  constexpr double Doubt = 2.0;
  const base::Duration Since = Now - UpdatedAt_;
  return faded(Refused_, Since) / (faded(Total_, Since) + Doubt);
}

} // namespace ebony::traffic
