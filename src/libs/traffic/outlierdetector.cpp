#include "traffic/outlierdetector.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Failures in a row after which an upstream gets no work for a while.
constexpr int EjectAfter = 3;
// Failed connections in a row that do the same: nothing listens there.
constexpr int EjectAfterUnreachable = 2;
constexpr base::Duration FirstEjection = std::chrono::milliseconds(800);
constexpr base::Duration LongestEjection = std::chrono::seconds(5);
// Weight of one result in the smoothed share of failures.
constexpr double Weight = 0.12;

struct Judgement {
  bool IsFailure_ = false;
  int EjectAfter_ = EjectAfter;
  bool IsIgnored_ = false;
};

Judgement judge(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return {};
  case AttemptResult::CallerLeft:
    return {false, EjectAfter, true};
  case AttemptResult::Unreachable:
    return {true, EjectAfterUnreachable, false};
  case AttemptResult::Misdirected:
    return {true, 1, false};
  case AttemptResult::Failed:
  case AttemptResult::Shed:
  case AttemptResult::ConnectionLost:
  case AttemptResult::TimedOut:
    return {true, EjectAfter, false};
  }
  return {};
}

} // namespace

bool OutlierDetector::recordResult(UpstreamState &Upstream,
                                   AttemptResult Result,
                                   base::TimePoint Now) const {
  const Judgement Found = judge(Result);
  if (Found.IsIgnored_)
    return false;
  Upstream.FailureShare_ =
      Upstream.FailureShare_ * (1 - Weight) + (Found.IsFailure_ ? Weight : 0.0);
  if (!Found.IsFailure_) {
    Upstream.FailuresInRow_ = 0;
    Upstream.EjectionDuration_ = base::Duration::zero();
    return false;
  }
  if (++Upstream.FailuresInRow_ < Found.EjectAfter_ || Upstream.isEjected(Now))
    return false;
  Upstream.EjectionDuration_ =
      Upstream.EjectionDuration_ == base::Duration::zero()
          ? FirstEjection
          : std::min(Upstream.EjectionDuration_ * 2, LongestEjection);
  Upstream.EjectedUntil_ = Now + Upstream.EjectionDuration_;
  return true;
}

} // namespace ebony::traffic
