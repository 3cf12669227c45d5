#include "agent/vmdirectory.h"

namespace ebony::agent {

VmDirectory::VmDirectory(fleet::FleetState &State,
                         platform::PlatformClient &Platform)
    : State_(State), Platform_(Platform) {}

void VmDirectory::poll() {
  const auto ListedVms = Platform_.listVms();
  if (!ListedVms)
    return;
  const auto Configuration = State_.configuration();
  std::vector<fleet::FleetMember> Members;
  for (const platform::ListedVm &Vm : *ListedVms) {
    const auto *Zone =
        Configuration->find<records::ZoneRecord>(Vm.Zone_.text());
    Members.push_back({{Vm.Address_, 0, Vm.Zone_},
                       Zone == nullptr ? base::RegionName() : Zone->Region_,
                       true,
                       Vm.IsLeaving_});
  }
  const auto Current = State_.members();
  fleet::MemberList Next(Current->version(), Members);
  if (Next != *Current)
    State_.setMembers({Current->version() + 1, std::move(Members)});
}

} // namespace ebony::agent
