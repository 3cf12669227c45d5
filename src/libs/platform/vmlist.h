#ifndef EBONY_PLATFORM_VMLIST_H
#define EBONY_PLATFORM_VMLIST_H

#include "base/finding.h"
#include "base/vmidentity.h"

#include <string>
#include <vector>

namespace ebony::platform {

/// Entry VM as listed by the platform; the list lags behind the actual state.
struct ListedVm {
  base::VmAddress Address_;
  base::ZoneName Zone_;
  bool IsLeaving_ = false;

  friend bool operator==(const ListedVm &, const ListedVm &) = default;
};

using VmList = std::vector<ListedVm>;

/// Parses the platform's JSON list of entry VMs.
base::Checked<VmList> parseVmList(const std::string &Text);

} // namespace ebony::platform

#endif
