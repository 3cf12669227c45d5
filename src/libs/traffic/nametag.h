#ifndef EBONY_TRAFFIC_NAMETAG_H
#define EBONY_TRAFFIC_NAMETAG_H

#include "base/hashing.h"

#include <cstdint>
#include <string_view>

namespace ebony::traffic {

/// Short hash that stands for a name in reports, which go to every VM several
/// times a second. Two names with the same tag are counted together, which
/// makes a forecast a little worse and breaks no bound.
using NameTag = std::uint32_t;

inline NameTag tagOf(std::string_view Name) {
  return static_cast<NameTag>(base::stableHash(Name));
}

} // namespace ebony::traffic

#endif
