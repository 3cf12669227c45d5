#include "traffic/coldupstreamlimiter.h"

#include "base/hashing.h"

namespace ebony::traffic {

namespace {

// Gap between two requests of one VM to a cold upstream. A little over the
// second in which requests are counted, because delays on the way differ.
constexpr base::Duration Gap = std::chrono::milliseconds(1200);

} // namespace

void ColdUpstreamLimiter::setVms(const std::vector<std::string> &Names) {
  OtherHashes_.clear();
  for (const std::string &Name : Names)
    if (Name != OwnName_)
      OtherHashes_.push_back(base::stableHash(Name));
}

bool ColdUpstreamLimiter::allows(const UpstreamState &Upstream,
                                 double BoundPerSecond,
                                 base::TimePoint Now) const {
  if (!Upstream.isCold(Now) || BoundPerSecond <= 0)
    return true;
  if (Upstream.LastColdSend_ != base::TimePoint{} &&
      Now - Upstream.LastColdSend_ < Gap)
    return false;
  const std::uint64_t Own =
      base::mixBits(base::stableHash(OwnName_) ^ Upstream.NameHash_);
  double Before = 0;
  for (const std::uint64_t Other : OtherHashes_)
    Before += base::mixBits(Other ^ Upstream.NameHash_) > Own ? 1 : 0;
  return Before + 1 <= BoundPerSecond * Share_;
}

} // namespace ebony::traffic
