#ifndef EBONY_STEERING_RINGMEMBER_H
#define EBONY_STEERING_RINGMEMBER_H

#include "base/vmidentity.h"

#include <cstdint>

namespace ebony::steering {

/// Entry VM that accepts new work, with its free capacity in request slots.
struct RingMember {
  base::VmAddress Vm_;
  std::uint32_t FreeCapacity_ = 0;

  friend bool operator==(const RingMember &, const RingMember &) = default;
};

} // namespace ebony::steering

#endif
