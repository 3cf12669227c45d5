#ifndef EBONY_MEMBERSHIP_MEMBERENTRY_H
#define EBONY_MEMBERSHIP_MEMBERENTRY_H

#include "base/time.h"
#include "membership/liveness.h"
#include "membership/vmstatus.h"

namespace ebony::membership {

/// State of one VM of a zone in a reply.
struct MemberEntry {
  VmStatus Status_;
  Liveness Liveness_ = Liveness::Dead;
  base::Duration Age_{0}; ///< since the last heartbeat of the VM

  friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

} // namespace ebony::membership

#endif
