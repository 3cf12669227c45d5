#ifndef EBONY_MEMBERSHIP_PULL_H
#define EBONY_MEMBERSHIP_PULL_H

#include "membership/heartbeatrequest.h"

namespace ebony::membership {

/// Request to send, and its receiver.
struct Pull {
  base::VmAddress Target_;
  HeartbeatRequest Request_;

  friend bool operator==(const Pull &, const Pull &) = default;
};

} // namespace ebony::membership

#endif
