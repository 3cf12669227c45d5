#ifndef EBONY_BASE_VMIDENTITY_H
#define EBONY_BASE_VMIDENTITY_H

#include "base/name.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace ebony::base {

/// Address of one entry VM: an IP number in text.
using VmAddress = Name<struct VmKind>;

/// Number that one start of a VM's software draws; it never comes again.
using Incarnation = std::int64_t;

/// One incarnation of one entry VM and the zone it stands in.
class VmIdentity {
public:
  VmIdentity() = default;
  VmIdentity(VmAddress Address, Incarnation Number, ZoneName Zone)
      : Address_(std::move(Address)), Incarnation_(Number),
        Zone_(std::move(Zone)) {}

  const VmAddress &address() const { return Address_; }
  Incarnation incarnation() const { return Incarnation_; }
  const ZoneName &zone() const { return Zone_; }

  friend bool operator==(const VmIdentity &, const VmIdentity &) = default;
  friend bool operator<(const VmIdentity &A, const VmIdentity &B) {
    return std::tie(A.Address_, A.Incarnation_, A.Zone_) <
           std::tie(B.Address_, B.Incarnation_, B.Zone_);
  }

private:
  VmAddress Address_;
  Incarnation Incarnation_ = 0;
  ZoneName Zone_;
};

} // namespace ebony::base

#endif
