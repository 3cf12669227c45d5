#include "traffic/coldupstreamlimiter.h"

#include "base/hashing.h"

namespace ebony::traffic {

namespace {

// Time between two requests of one VM to a cold upstream. Slightly longer than
// the second over which requests are counted, because network delays vary.
constexpr base::Duration MinSendInterval = std::chrono::milliseconds(1200);

} // namespace

void ColdUpstreamLimiter::setVms(const std::vector<std::string> &Names) {
  OtherHashes_.clear();
  for (const std::string &Name : Names)
    if (Name != OwnName_)
      OtherHashes_.push_back(base::stableHash(Name));
}

bool ColdUpstreamLimiter::allows(const UpstreamState &Upstream,
                                 double LimitPerSecond,
                                 base::TimePoint Now) const {
  if (!Upstream.isCold(Now) || LimitPerSecond <= 0)
    return true;
  if (Upstream.LastColdSend_ != base::TimePoint{} &&
      Now - Upstream.LastColdSend_ < MinSendInterval)
    return false;
  const std::uint64_t OwnScore =
      base::mixBits(base::stableHash(OwnName_) ^ Upstream.NameHash_);
  double HigherRanked = 0;
  for (const std::uint64_t OtherHash : OtherHashes_)
    HigherRanked +=
        base::mixBits(OtherHash ^ Upstream.NameHash_) > OwnScore ? 1 : 0;
  return HigherRanked + 1 <= LimitPerSecond * Share_;
}

} // namespace ebony::traffic
