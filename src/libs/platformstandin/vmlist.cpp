#include "platformstandin/vmlist.h"

#include <utility>

namespace ebony::platformstandin {

VmList::VmList(std::vector<ListedVm> Initial) {
  Snapshots_.push_back({base::TimePoint::min(), std::move(Initial)});
}

void VmList::update(const ListedVm &Vm, base::TimePoint Now) {
  std::vector<ListedVm> Updated = Snapshots_.back().Vms_;
  std::erase_if(Updated, [&](const ListedVm &Listed) {
    return Listed.Address_ == Vm.Address_;
  });
  if (Vm.State_ != "gone")
    Updated.push_back(Vm);
  Snapshots_.push_back({Now, std::move(Updated)});
}

const std::vector<ListedVm> &VmList::visibleAt(base::TimePoint Now,
                                               base::Duration Lag) const {
  std::size_t Index = Snapshots_.size() - 1;
  while (Index > 0 && Snapshots_[Index].Since_ > Now - Lag)
    --Index;
  return Snapshots_[Index].Vms_;
}

} // namespace ebony::platformstandin
