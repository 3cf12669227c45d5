#include "fleet/memberlist.h"

#include <algorithm>

namespace ebony::fleet {

MemberList::MemberList(std::int64_t Version, std::vector<FleetMember> Members)
    : Version_(Version), Members_(std::move(Members)) {
  std::sort(Members_.begin(), Members_.end(),
            [](const FleetMember &Left, const FleetMember &Right) {
              return Left.Vm_ < Right.Vm_;
            });
}

std::vector<FleetMember> MemberList::inZone(const base::ZoneName &Zone) const {
  std::vector<FleetMember> Result;
  std::copy_if(
      Members_.begin(), Members_.end(), std::back_inserter(Result),
      [&](const FleetMember &Member) { return Member.Vm_.zone() == Zone; });
  return Result;
}

const FleetMember *MemberList::find(const base::VmAddress &Address) const {
  const auto Found = std::find_if(Members_.begin(), Members_.end(),
                                  [&](const FleetMember &Member) {
                                    return Member.Vm_.address() == Address;
                                  });
  return Found == Members_.end() ? nullptr : &*Found;
}

std::optional<std::size_t>
MemberList::rankInZone(const base::VmAddress &Address,
                       const base::ZoneName &Zone) const {
  std::size_t Rank = 0;
  for (const FleetMember &Member : Members_) {
    if (Member.Vm_.zone() != Zone)
      continue;
    if (Member.Vm_.address() == Address)
      return Rank;
    ++Rank;
  }
  return std::nullopt;
}

} // namespace ebony::fleet
