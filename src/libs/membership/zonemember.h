#ifndef EBONY_MEMBERSHIP_ZONEMEMBER_H
#define EBONY_MEMBERSHIP_ZONEMEMBER_H

#include "membership/vmstatus.h"

#include <cstdint>

namespace ebony::membership {

/// State of one VM of the own zone in a view.
struct ZoneMember {
  VmStatus Status_;
  bool IsLive_ = false;
  bool IsLeaving_ =
      false; ///< announced by the VM or set in the platform's list

  /// Returns true if the VM is live and accepts new work.
  bool takesNewWork() const { return IsLive_ && !IsLeaving_; }

  friend bool operator==(const ZoneMember &, const ZoneMember &) = default;
};

} // namespace ebony::membership

#endif
