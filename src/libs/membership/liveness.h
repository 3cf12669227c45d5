#ifndef EBONY_MEMBERSHIP_LIVENESS_H
#define EBONY_MEMBERSHIP_LIVENESS_H

#include <cstdint>

namespace ebony::membership {

/// What a VM holds about the liveness of another one.
enum class Liveness : std::uint8_t {
  Live,        ///< heard, directly or through a relay that heard it
  Unconfirmed, ///< vouched for by a relay, or heard before an own long pause
  Dead         ///< silent past the limit, or gone by its own word
};

} // namespace ebony::membership

#endif
