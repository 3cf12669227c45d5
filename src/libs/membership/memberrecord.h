#ifndef EBONY_MEMBERSHIP_MEMBERRECORD_H
#define EBONY_MEMBERSHIP_MEMBERRECORD_H

#include "membership/failuredetector.h"
#include "membership/liveness.h"
#include "membership/vmstatus.h"

#include <cstdint>
#include <optional>

namespace ebony::membership {

/// All that this VM holds about one address of its zone.
struct MemberRecord {
  VmStatus Status_;
  FailureDetector Detector_;
  std::optional<ProcessTime> Vouched_;     ///< last vouched for by a relay
  std::int64_t DeniedSequence_ = -1;       ///< called dead up to this sequence
  std::optional<ProcessTime> HeardDirect_; ///< last heartbeat that came here
  Liveness Liveness_ = Liveness::Dead;
  std::int64_t Version_ = 0;
};

} // namespace ebony::membership

#endif
