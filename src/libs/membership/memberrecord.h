#ifndef EBONY_MEMBERSHIP_MEMBERRECORD_H
#define EBONY_MEMBERSHIP_MEMBERRECORD_H

#include "membership/failuredetector.h"
#include "membership/liveness.h"
#include "membership/vmstatus.h"

#include <cstdint>
#include <optional>

namespace ebony::membership {

/// State that this VM keeps for one address of its zone.
struct MemberRecord {
  VmStatus Status_;
  FailureDetector Detector_;
  std::optional<ProcessTime> ReportedLiveAt_; ///< last reported live by a relay
  std::int64_t ReportedDeadSequence_ =
      -1; ///< reported dead up to this sequence
  std::optional<ProcessTime>
      LastDirectHeartbeat_; ///< last heartbeat received without a relay
  Liveness Liveness_ = Liveness::Dead;
  std::int64_t Version_ = 0;
};

} // namespace ebony::membership

#endif
