#ifndef EBONY_MEMBERSHIP_LIVENESS_H
#define EBONY_MEMBERSHIP_LIVENESS_H

#include <cstdint>

namespace ebony::membership {

/// Liveness of a VM as another VM sees it.
enum class Liveness : std::uint8_t {
  Live,        ///< recent heartbeat, direct or through a relay
  Unconfirmed, ///< reported live by a relay, or last heartbeat before a long
               ///< pause of this process
  Dead         ///< suspicion timeout passed, or the VM announced its end
};

} // namespace ebony::membership

#endif
