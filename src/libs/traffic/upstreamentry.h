#ifndef EBONY_TRAFFIC_UPSTREAMENTRY_H
#define EBONY_TRAFFIC_UPSTREAMENTRY_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::traffic {

/// What an upstream says of itself.
struct UpstreamEntry {
  base::UpstreamName Name_;
  base::ServiceName Service_;
  std::string Address_;
  std::uint16_t Port_ = 0;
  base::ZoneName Zone_;
  int Slots_ = 1;
  bool IsDraining_ = false;
  /// How much longer it stays cold.
  base::Duration ColdRemaining_{};
  /// Start of the process in milliseconds of Unix time; 0 when unknown.
  std::int64_t StartedUnixMs_ = 0;

  friend bool operator==(const UpstreamEntry &,
                         const UpstreamEntry &) = default;
};

} // namespace ebony::traffic

#endif
