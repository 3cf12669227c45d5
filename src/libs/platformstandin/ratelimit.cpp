#include "platformstandin/ratelimit.h"

#include <algorithm>

namespace ebony::platformstandin {

bool RateLimit::tryAcquire(base::TimePoint Now) {
  const double Refill = base::toSeconds(Now - LastRefill_) * PerSecond_;
  Tokens_ = std::min(PerSecond_, Tokens_ + std::max(0.0, Refill));
  LastRefill_ = std::max(LastRefill_, Now);
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

} // namespace ebony::platformstandin
