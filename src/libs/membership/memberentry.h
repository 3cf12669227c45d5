#ifndef EBONY_MEMBERSHIP_MEMBERENTRY_H
#define EBONY_MEMBERSHIP_MEMBERENTRY_H

#include "base/time.h"
#include "membership/liveness.h"
#include "membership/vmstatus.h"

namespace ebony::membership {

/// One VM of a zone as a reply tells of it.
struct MemberEntry {
  VmStatus Status_;
  Liveness Liveness_ = Liveness::Dead;
  base::Duration Age_{0}; ///< since the VM was heard with this sequence

  friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

} // namespace ebony::membership

#endif
