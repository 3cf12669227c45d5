#include "membership/zoneview.h"

#include <algorithm>

namespace ebony::membership {

const ZoneMember *ZoneView::find(const base::VmAddress &Address) const {
  const auto Found = std::find_if(
      Members_.begin(), Members_.end(), [&](const ZoneMember &Member) {
        return Member.Status_.Vm_.address() == Address;
      });
  return Found == Members_.end() ? nullptr : &*Found;
}

} // namespace ebony::membership
