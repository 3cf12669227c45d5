#ifndef EBONY_MEMBERSHIP_LIVENESS_H
#define EBONY_MEMBERSHIP_LIVENESS_H

#include <cstdint>

namespace ebony::membership {

/// What a VM holds about the liveness of another one.
enum class Liveness : std::uint8_t {
  Live,        ///< recent heartbeat, direct or through a relay
  Unconfirmed, ///< reported live, or last heartbeat before a long own pause
  Dead         ///< suspicion timeout passed, or the VM announced its end
};

} // namespace ebony::membership

#endif
