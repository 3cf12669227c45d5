#ifndef EBONY_TRAFFIC_CALLERLIMITS_H
#define EBONY_TRAFFIC_CALLERLIMITS_H

#include "base/time.h"

#include <cstdint>

namespace ebony::traffic {

/// Limits on callers' requests. The defaults apply until the first
/// configuration has been read.
struct CallerLimits {
  std::uint32_t HeaderBytes_ = 16384;
  std::uint64_t BodyBytes_ = 64ULL << 20;
  base::Duration HeaderTimeout_ = std::chrono::seconds(3);
  base::Duration IdleTimeout_ = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace ebony::traffic

#endif
