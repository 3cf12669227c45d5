#include "load/tokenbucket.h"

#include <algorithm>

namespace ebony::load {

bool TokenBucket::tryConsume(base::Duration Now) {
  Tokens_ = std::min(BurstRequests_,
                     Tokens_ + RequestsPerSecond_ *
                                   base::toSeconds(Now - LastRefill_));
  LastRefill_ = Now;
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

} // namespace ebony::load
