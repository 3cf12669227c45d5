#include "traffic/coldupstreamlimiter.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Time between two requests of one VM to a cold upstream. Slightly longer than
// the second over which requests are counted, because network delays vary.
constexpr base::Duration MinSendInterval = std::chrono::milliseconds(1200);

} // namespace

void ColdUpstreamLimiter::setOtherVms(const std::vector<std::string> &Names,
                                      base::TimePoint Now) {
  OtherHashes_.clear();
  for (const std::string &Name : Names)
    OtherHashes_.push_back(base::stableHash(Name));
  std::erase_if(LastSends_, [Now](const auto &Entry) {
    return Now - Entry.second >= MinSendInterval;
  });
  // What the VM sent before a restart is not known.
  if (!StartsAt_)
    StartsAt_ = Now + MinSendInterval;
}

bool ColdUpstreamLimiter::allowsIfCold(const UpstreamState &Upstream,
                                       double LimitPerSecond,
                                       base::TimePoint Now) const {
  if (LimitPerSecond <= 0)
    return true;
  if (!StartsAt_ || Now < *StartsAt_)
    return false;
  const auto LastSend = LastSends_.find(Upstream.NameHash_);
  if (LastSend != LastSends_.end() && Now - LastSend->second < MinSendInterval)
    return false;
  const auto Rank = static_cast<double>(countHigherRanked(Upstream) + 1);
  return Rank <= LimitPerSecond * Share_;
}

std::size_t
ColdUpstreamLimiter::countHigherRanked(const UpstreamState &Upstream) const {
  const std::uint64_t OwnScore =
      base::mixBits(base::stableHash(OwnName_) ^ Upstream.NameHash_);
  return static_cast<std::size_t>(std::count_if(
      OtherHashes_.begin(), OtherHashes_.end(), [&](std::uint64_t OtherHash) {
        return base::mixBits(OtherHash ^ Upstream.NameHash_) > OwnScore;
      }));
}

} // namespace ebony::traffic
