#ifndef EBONY_MEMBERSHIP_PLATFORMVM_H
#define EBONY_MEMBERSHIP_PLATFORMVM_H

#include "base/vmidentity.h"

#include <vector>

namespace ebony::membership {

/// Entry of the platform's VM list. The list lags: the VM may already be dead
/// or leaving.
struct PlatformVm {
  base::VmAddress Address_;
  base::ZoneName Zone_;
  bool IsLeaving_ = false;

  friend bool operator==(const PlatformVm &, const PlatformVm &) = default;
};

using PlatformList = std::vector<PlatformVm>;

} // namespace ebony::membership

#endif
