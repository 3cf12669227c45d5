#include "traffic/sendgate.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

constexpr base::Duration NoWait = base::Duration::zero();

// Time that a request is expected to wait for the end of a trial.
constexpr base::Duration TrialWait = std::chrono::milliseconds(250);

} // namespace

const std::vector<SendGate::Rule> &SendGate::rules() {
  static const std::vector<Rule> All = {
      {SendBar::Unlisted, &SendGate::unlistedWait, {}},
      {SendBar::Leaving, &SendGate::leavingWait, {}},
      {SendBar::Quiet, &SendGate::quietWait, {}},
      {SendBar::Trial, &SendGate::trialWait, {SendStage::Send}},
      {SendBar::ColdLimit, &SendGate::coldLimitWait, {SendStage::Send}},
      {SendBar::NamedLimit, &SendGate::namedLimitWait, {SendStage::Send}},
      {SendBar::Ejected,
       &SendGate::ejectedWait,
       {SendStage::PlaceAsLastResort, SendStage::Send}},
  };
  return All;
}

SendPermission SendGate::permission(const UpstreamState &Upstream,
                                    SendStage Stage, base::TimePoint Now,
                                    int Ahead) const {
  SendPermission Result;
  for (const Rule &One : rules()) {
    if (std::find(One.ExemptStages_.begin(), One.ExemptStages_.end(), Stage) !=
        One.ExemptStages_.end())
      continue;
    const base::Duration Wait = (this->*One.Wait_)(Upstream, Now, Ahead);
    if (Wait > Result.Wait_)
      Result = {One.Bar_, Wait};
  }
  return Result;
}

base::Duration SendGate::unlistedWait(const UpstreamState &Upstream,
                                      base::TimePoint, int) const {
  return Upstream.IsListed_ ? NoWait : SendPermission::Never;
}

base::Duration SendGate::leavingWait(const UpstreamState &Upstream,
                                     base::TimePoint, int) const {
  return Upstream.isLeaving() ? SendPermission::Never : NoWait;
}

base::Duration SendGate::quietWait(const UpstreamState &Upstream,
                                   base::TimePoint Now, int) const {
  return std::max(Upstream.QuietUntil_ - Now, NoWait);
}

// All requests that waited would reach the upstream at once, though it may need
// more time.
base::Duration SendGate::trialWait(const UpstreamState &Upstream,
                                   base::TimePoint, int) const {
  return Upstream.NeedsTrial_ && Upstream.InFlight_ > 0 ? TrialWait : NoWait;
}

base::Duration SendGate::coldLimitWait(const UpstreamState &Upstream,
                                       base::TimePoint Now, int) const {
  if (!Rules_ || !(IsIsolated_ || Upstream.isCold(Now)))
    return NoWait;
  const ServiceSettings *Service =
      Rules_->findService(Upstream.Entry_.Service_);
  if (!Service)
    return NoWait;
  const double FleetLimit =
      Service->ColdRatePerSecond_ * Bound_.Overrun_ + Bound_.Slack_;
  return ColdLimiter_.allowsIfCold(Upstream, FleetLimit, Now)
             ? NoWait
             : SendPermission::Never;
}

base::Duration SendGate::namedLimitWait(const UpstreamState &Upstream,
                                        base::TimePoint Now, int Ahead) const {
  return RateLimiter_.sendDelay(Upstream, Ahead, Now)
      .value_or(SendPermission::Never);
}

// An ejection ends at a known time, but the request is better sent elsewhere
// than held until then.
base::Duration SendGate::ejectedWait(const UpstreamState &Upstream,
                                     base::TimePoint Now, int) const {
  return Upstream.isEjected(Now) ? SendPermission::Never : NoWait;
}

} // namespace ebony::traffic
