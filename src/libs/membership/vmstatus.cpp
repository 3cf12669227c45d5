#include "membership/vmstatus.h"

#include <tuple>

namespace ebony::membership {

bool VmStatus::equalsIgnoringSequence(const VmStatus &Other) const {
  VmStatus Aligned = Other;
  Aligned.Sequence_ = Sequence_;
  return *this == Aligned;
}

bool VmStatus::isNewerThan(const VmStatus &Other) const {
  return std::make_tuple(Vm_.incarnation(), Sequence_) >
         std::make_tuple(Other.Vm_.incarnation(), Other.Sequence_);
}

} // namespace ebony::membership
