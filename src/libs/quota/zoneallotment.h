#ifndef EBONY_QUOTA_ZONEALLOTMENT_H
#define EBONY_QUOTA_ZONEALLOTMENT_H

#include "quota/zonemember.h"

#include <vector>

namespace ebony::quota {

/// A zone's row in the table service: which incarnations share the zone's
/// parts. The parts are the same for every customer, so the row does not grow
/// with the number of customers. Each change is written on condition of the
/// version read. After a lost answer the row is read back, since it shows
/// whether the change took effect.
class ZoneAllotment {
public:
  ZoneAllotment(QuotaHolding Free, std::vector<ZoneMember> Members)
      : Free_(Free), Members_(std::move(Members)) {}

  /// Returns the row of a zone without members: one of \p Zones equal shares of
  /// WholeParts, of which \p FloorPercent never leave the zone.
  static ZoneAllotment initial(std::int64_t Zones, std::int64_t FloorPercent);

  /// Returns the row after \p Vm has joined and drawn its share of the free
  /// parts, where \p ExpectedVms share the zone. Returns the row unchanged if
  /// \p Vm is a member.
  ZoneAllotment join(const base::VmIdentity &Vm,
                     std::int64_t ExpectedVms) const;

  /// Returns the row after \p Departed and the members that it had claimed are
  /// claimed: by the VM that already holds claims, else by \p Claimer.
  ZoneAllotment claim(const base::VmIdentity &Departed,
                      const base::VmIdentity &Claimer) const;

  /// Returns the row after \p Claimer has taken over the drawn parts of all
  /// members that it claimed.
  ZoneAllotment settle(const base::VmIdentity &Claimer) const;

  QuotaHolding free() const { return Free_; }
  const std::vector<ZoneMember> &members() const { return Members_; }
  const ZoneMember *find(const base::VmIdentity &Vm) const;

  /// Returns the members that are not claimed; only these make transfers among
  /// each other.
  std::vector<base::VmIdentity> active() const;

  /// Returns the members that \p Claimer has claimed.
  std::vector<ZoneMember> claimedBy(const base::VmIdentity &Claimer) const;

  /// Returns the sum of the free and the drawn parts, which is invariant.
  QuotaHolding total() const;

  friend bool operator==(const ZoneAllotment &,
                         const ZoneAllotment &) = default;

private:
  QuotaHolding Free_;
  std::vector<ZoneMember> Members_;
};

} // namespace ebony::quota

#endif
