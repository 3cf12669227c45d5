#ifndef EBONY_MEMBERSHIP_RELAYEDHEARTBEAT_H
#define EBONY_MEMBERSHIP_RELAYEDHEARTBEAT_H

#include "base/time.h"
#include "base/vmidentity.h"

#include <cstdint>

namespace ebony::membership {

/// Heartbeat that a relay received and forwards to the other relays.
struct RelayedHeartbeat {
  base::VmAddress Address_;
  base::Incarnation Incarnation_ = 0;
  std::int64_t Sequence_ = 0;
  base::Duration Age_{0};

  friend bool operator==(const RelayedHeartbeat &,
                         const RelayedHeartbeat &) = default;
};

} // namespace ebony::membership

#endif
