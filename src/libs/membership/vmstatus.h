#ifndef EBONY_MEMBERSHIP_VMSTATUS_H
#define EBONY_MEMBERSHIP_VMSTATUS_H

#include "base/vmidentity.h"
#include "membership/vmphase.h"

#include <cstdint>

namespace ebony::membership {

/// Status that a VM publishes about itself.
struct VmStatus {
  base::VmIdentity Vm_;
  std::int64_t Sequence_ =
      0; ///< increases with each heartbeat of an incarnation
  std::int64_t AppliedRevision_ = 0;
  VmPhase Phase_ = VmPhase::Serving;
  std::uint32_t FreeCapacity_ = 0; ///< in request slots

  /// Returns true if nothing but the sequence differs from \p Other.
  bool equalsIgnoringSequence(const VmStatus &Other) const;

  /// Returns true if \p Other has an older incarnation or sequence.
  bool isNewerThan(const VmStatus &Other) const;

  friend bool operator==(const VmStatus &, const VmStatus &) = default;
};

} // namespace ebony::membership

#endif
