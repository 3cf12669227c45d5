#ifndef EBONY_TRAFFIC_UPSTREAMENTRY_H
#define EBONY_TRAFFIC_UPSTREAMENTRY_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ebony::traffic {

/// Directory entry that an upstream publishes about itself.
struct UpstreamEntry {
  base::UpstreamName Name_;
  base::ServiceName Service_;
  std::string Address_;
  std::uint16_t Port_ = 0;
  base::ZoneName Zone_;
  int Slots_ = 1;
  bool IsDraining_ = false;
  /// Remaining time for which the upstream is cold.
  base::Duration ColdRemaining_{};
  /// Start of the process in milliseconds of Unix time; 0 if unknown.
  std::int64_t StartedUnixMs_ = 0;
  /// Rises with each entry of a run; std::nullopt if unknown.
  std::optional<std::int64_t> Sequence_;

  friend bool operator==(const UpstreamEntry &,
                         const UpstreamEntry &) = default;
};

} // namespace ebony::traffic

#endif
