#ifndef EBONY_FLEET_MEMBERLIST_H
#define EBONY_FLEET_MEMBERLIST_H

#include "base/vmidentity.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace ebony::fleet {

/// Entry VM as the agent of this VM sees it.
struct FleetMember {
  base::VmIdentity Vm_;
  base::RegionName Region_;
  bool IsLive_ = true;
  bool IsLeaving_ = false;

  /// Returns true if new work may be sent to the VM.
  bool isUsable() const { return IsLive_ && !IsLeaving_; }

  friend bool operator==(const FleetMember &, const FleetMember &) = default;
};

/// All known entry VMs, sorted by address.
class MemberList {
public:
  MemberList() = default;
  MemberList(std::int64_t Version, std::vector<FleetMember> Members);

  std::int64_t version() const { return Version_; }
  const std::vector<FleetMember> &all() const { return Members_; }

  /// Returns the members of \p Zone, sorted by address.
  std::vector<FleetMember> inZone(const base::ZoneName &Zone) const;

  /// Returns the member at \p Address, or null.
  const FleetMember *find(const base::VmAddress &Address) const;

  /// Returns the position of \p Address among all members of \p Zone, or
  /// std::nullopt if it is not listed.
  std::optional<std::size_t> rankInZone(const base::VmAddress &Address,
                                        const base::ZoneName &Zone) const;

  friend bool operator==(const MemberList &, const MemberList &) = default;

private:
  std::int64_t Version_ = 0;
  std::vector<FleetMember> Members_;
};

} // namespace ebony::fleet

#endif
