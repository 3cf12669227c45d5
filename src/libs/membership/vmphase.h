#ifndef EBONY_MEMBERSHIP_VMPHASE_H
#define EBONY_MEMBERSHIP_VMPHASE_H

#include <cstdint>

namespace ebony::membership {

/// Phase in the life cycle of a VM's software.
enum class VmPhase : std::uint8_t {
  Serving, ///< accepts new work
  Leaving, ///< planned stop: accepts no new work and finishes running work
  Gone     ///< announced that it has stopped
};

} // namespace ebony::membership

#endif
