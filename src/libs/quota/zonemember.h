#ifndef EBONY_QUOTA_ZONEMEMBER_H
#define EBONY_QUOTA_ZONEMEMBER_H

#include "base/vmidentity.h"
#include "quota/quotaholding.h"

#include <optional>

namespace ebony::quota {

/// One VM incarnation in its zone's allotment row.
class ZoneMember {
public:
  ZoneMember(base::VmIdentity Vm, QuotaHolding Drawn,
             std::optional<base::VmIdentity> ClaimedBy)
      : Vm_(std::move(Vm)), Drawn_(Drawn), ClaimedBy_(std::move(ClaimedBy)) {}

  const base::VmIdentity &vm() const { return Vm_; }

  /// Parts, of each customer's quota, that this incarnation has drawn from the
  /// zone's row.
  QuotaHolding drawn() const { return Drawn_; }

  /// The VM that settles this member's accounts; set once the member has
  /// departed.
  const std::optional<base::VmIdentity> &claimedBy() const {
    return ClaimedBy_;
  }

  friend bool operator==(const ZoneMember &, const ZoneMember &) = default;

private:
  base::VmIdentity Vm_;
  QuotaHolding Drawn_;
  std::optional<base::VmIdentity> ClaimedBy_;
};

} // namespace ebony::quota

#endif
