#include "membership/pulltracker.h"

namespace ebony::membership {

namespace {

constexpr unsigned FailuresUntilAvoided = 2;

} // namespace

PullTracker::PullTracker(const MembershipSettings &Settings)
    : Timeout_(Settings.PullTimeout_), AvoidSpan_(Settings.LongestSilence_) {}

bool PullTracker::isWaiting(const base::VmAddress &Target) const {
  return Waiting_.contains(Target);
}

void PullTracker::sent(const base::VmAddress &Target, std::int64_t Sequence,
                       const ProcessTime &Now) {
  Waiting_[Target] = {.Sequence_ = Sequence, .Sent_ = Now};
}

std::optional<ProcessTime> PullTracker::answered(const base::VmAddress &Target,
                                                 std::int64_t Sequence) {
  const auto Found = Waiting_.find(Target);
  if (Found == Waiting_.end() || Found->second.Sequence_ != Sequence)
    return {};
  const ProcessTime Sent = Found->second.Sent_;
  Waiting_.erase(Found);
  Failures_.erase(Target);
  return Sent;
}

void PullTracker::failed(const base::VmAddress &Target,
                         const ProcessTime &Now) {
  Waiting_.erase(Target);
  Failures &Known = Failures_[Target];
  ++Known.Count_;
  Known.Last_ = Now;
}

// Counted in running time: an answer that came in during a pause of this
// process is still read before the pull fails.
std::vector<base::VmAddress> PullTracker::expire(const ProcessTime &Now) {
  std::vector<base::VmAddress> Expired;
  for (const auto &[Target, Pull] : Waiting_)
    if (Pull.Sent_.silenceAt(Now) > Timeout_)
      Expired.push_back(Target);
  for (const base::VmAddress &Target : Expired)
    failed(Target, Now);
  std::erase_if(Failures_, [&](const auto &One) {
    return One.second.Last_.silenceAt(Now) > AvoidSpan_;
  });
  return Expired;
}

std::set<base::VmAddress> PullTracker::avoided(const ProcessTime &Now) const {
  std::set<base::VmAddress> All;
  for (const auto &[Target, Known] : Failures_)
    if (Known.Count_ >= FailuresUntilAvoided &&
        Known.Last_.silenceAt(Now) <= AvoidSpan_)
      All.insert(Target);
  return All;
}

} // namespace ebony::membership
