#include "traffic/upstreamhealth.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Consecutive failures after which an upstream is ejected.
constexpr int EjectAfter = 3;
// Failed connections eject sooner, since nothing listens at the address.
constexpr int EjectAfterUnreachable = 2;
// An upstream that sheds part of its requests still has its objects cached.
constexpr int EjectAfterShed = 10;
constexpr base::Duration MinEjection = std::chrono::milliseconds(800);
constexpr base::Duration MaxEjection = std::chrono::seconds(5);
// Weight of one result in the smoothed share of failures.
constexpr double ResultWeight = 0.12;

struct ResultClass {
  bool IsFailure_ = false;
  int EjectAfter_ = EjectAfter;
  bool IsIgnored_ = false;
};

ResultClass classify(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return {};
  case AttemptResult::CallerLeft:
  case AttemptResult::Withheld:
    return {false, EjectAfter, true};
  case AttemptResult::Unreachable:
    return {true, EjectAfterUnreachable, false};
  case AttemptResult::Misdirected:
    return {true, 1, false};
  case AttemptResult::Shed:
    return {true, EjectAfterShed, false};
  case AttemptResult::Failed:
  case AttemptResult::ConnectionLost:
  case AttemptResult::TimedOut:
    return {true, EjectAfter, false};
  }
  return {};
}

} // namespace

bool UpstreamHealth::recordResult(UpstreamState &Upstream, AttemptResult Result,
                                  base::TimePoint Now) const {
  const ResultClass Class = classify(Result);
  if (Class.IsIgnored_)
    return false;
  if (Class.IsFailure_ && Upstream.FailuresInRow_ == 0) {
    Upstream.EarlierLatencyFactor_ = Upstream.LatencyFactor_;
    Upstream.EarlierFailureShare_ = Upstream.FailureShare_;
  }
  Upstream.FailureShare_ = Upstream.FailureShare_ * (1 - ResultWeight) +
                           (Class.IsFailure_ ? ResultWeight : 0.0);
  if (!Class.IsFailure_) {
    Upstream.FailuresInRow_ = 0;
    Upstream.EjectionDuration_ = base::Duration::zero();
    return false;
  }
  if (++Upstream.FailuresInRow_ < Class.EjectAfter_ || Upstream.isEjected(Now))
    return false;
  Upstream.EjectionDuration_ =
      Upstream.EjectionDuration_ == base::Duration::zero()
          ? MinEjection
          : std::min(Upstream.EjectionDuration_ * 2, MaxEjection);
  Upstream.EjectedUntil_ = Now + Upstream.EjectionDuration_;
  return true;
}

void UpstreamHealth::forgetFailures(UpstreamState &Upstream) {
  if (Upstream.FailuresInRow_ == 0)
    return;
  Upstream.FailuresInRow_ = 0;
  Upstream.LatencyFactor_ = Upstream.EarlierLatencyFactor_;
  Upstream.FailureShare_ = Upstream.EarlierFailureShare_;
  Upstream.EjectionDuration_ = base::Duration::zero();
  Upstream.EjectedUntil_ = {};
}

} // namespace ebony::traffic
