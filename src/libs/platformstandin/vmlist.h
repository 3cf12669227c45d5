#ifndef EBONY_PLATFORMSTANDIN_VMLIST_H
#define EBONY_PLATFORMSTANDIN_VMLIST_H

#include "base/time.h"
#include "platformstandin/listedvm.h"

#include <vector>

namespace ebony::platformstandin {

/// VM list whose changes become visible to readers after a lag. Not
/// thread-safe.
class VmList {
public:
  explicit VmList(std::vector<ListedVm> Initial);

  /// Adds or updates \p Vm at \p Now; state "gone" removes it from the list.
  void update(const ListedVm &Vm, base::TimePoint Now);

  /// Returns the list as it was \p Lag before \p Now.
  const std::vector<ListedVm> &visibleAt(base::TimePoint Now,
                                         base::Duration Lag) const;

private:
  struct Snapshot {
    base::TimePoint Since_;
    std::vector<ListedVm> Vms_;
  };

  std::vector<Snapshot> Snapshots_;
};

} // namespace ebony::platformstandin

#endif
