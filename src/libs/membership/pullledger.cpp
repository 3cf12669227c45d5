#include "membership/pullledger.h"

namespace ebony::membership {

namespace {

constexpr unsigned FailuresUntilAvoided = 2;

} // namespace

PullLedger::PullLedger(const MembershipSettings &Settings)
    : Timeout_(Settings.PullTimeout_),
      AvoidancePeriod_(Settings.MaxSuspicionTimeout_) {}

bool PullLedger::isPending(const base::VmAddress &Target) const {
  return Pending_.contains(Target);
}

void PullLedger::recordSent(const base::VmAddress &Target,
                            std::int64_t Sequence, const ProcessTime &Now) {
  Pending_[Target] = {.Sequence_ = Sequence, .SentAt_ = Now};
}

std::optional<ProcessTime>
PullLedger::recordReply(const base::VmAddress &Target, std::int64_t Sequence) {
  const auto Found = Pending_.find(Target);
  if (Found == Pending_.end() || Found->second.Sequence_ != Sequence)
    return {};
  const ProcessTime SentAt = Found->second.SentAt_;
  Pending_.erase(Found);
  Failures_.erase(Target);
  return SentAt;
}

void PullLedger::recordFailure(const base::VmAddress &Target,
                               const ProcessTime &Now) {
  Pending_.erase(Target);
  FailureRecord &Failure = Failures_[Target];
  ++Failure.Count_;
  Failure.LastFailure_ = Now;
}

// The timeout counts running time: a reply that arrived while this process was
// paused is still read before its pull fails.
std::vector<base::VmAddress> PullLedger::expire(const ProcessTime &Now) {
  std::vector<base::VmAddress> Expired;
  for (const auto &[Target, Pull] : Pending_)
    if (Pull.SentAt_.runningAgeAt(Now) > Timeout_)
      Expired.push_back(Target);
  for (const base::VmAddress &Target : Expired)
    recordFailure(Target, Now);
  std::erase_if(Failures_, [&](const auto &Entry) {
    return Entry.second.LastFailure_.runningAgeAt(Now) > AvoidancePeriod_;
  });
  return Expired;
}

std::set<base::VmAddress>
PullLedger::avoidedTargets(const ProcessTime &Now) const {
  std::set<base::VmAddress> Targets;
  for (const auto &[Target, Failure] : Failures_)
    if (Failure.Count_ >= FailuresUntilAvoided &&
        Failure.LastFailure_.runningAgeAt(Now) <= AvoidancePeriod_)
      Targets.insert(Target);
  return Targets;
}

} // namespace ebony::membership
