#ifndef EBONY_TRAFFIC_NAMETAG_H
#define EBONY_TRAFFIC_NAMETAG_H

#include "base/hashing.h"

#include <cstdint>
#include <string_view>

namespace ebony::traffic {

/// Short hash that replaces a name in reports, which are sent to every VM
/// several times per second. Names with the same tag are counted together; this
/// makes predictions slightly less accurate but violates no limit.
using NameTag = std::uint32_t;

inline NameTag tagOf(std::string_view Name) {
  return static_cast<NameTag>(base::stableHash(Name));
}

} // namespace ebony::traffic

#endif
