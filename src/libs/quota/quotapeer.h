#ifndef EBONY_QUOTA_QUOTAPEER_H
#define EBONY_QUOTA_QUOTAPEER_H

#include "base/time.h"
#include "base/vmidentity.h"

namespace ebony::quota {

/// A VM that quota may be requested from, with the round-trip time to it.
class QuotaPeer {
public:
  QuotaPeer(base::VmIdentity Vm, base::Duration RoundTrip)
      : Vm_(std::move(Vm)), RoundTrip_(RoundTrip) {}

  const base::VmIdentity &vm() const { return Vm_; }
  base::Duration roundTrip() const { return RoundTrip_; }

  friend bool operator==(const QuotaPeer &, const QuotaPeer &) = default;

private:
  base::VmIdentity Vm_;
  base::Duration RoundTrip_;
};

} // namespace ebony::quota

#endif
