#ifndef EBONY_MEMBERSHIP_HEARTBEATREQUEST_H
#define EBONY_MEMBERSHIP_HEARTBEATREQUEST_H

#include "membership/digestage.h"
#include "membership/processtime.h"
#include "membership/vmstatus.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ebony::membership {

/// Pull of one VM from another. It is also the sender's heartbeat.
struct HeartbeatRequest {
  VmStatus Status_;
  base::Incarnation KnownIncarnation_ = 0; ///< of the receiver; 0 if unknown
  std::int64_t KnownVersion_ = 0;          ///< of the receiver's zone table
  std::int64_t KnownDigestVersion_ = 0;
  std::optional<ProcessTime> Echo_ = {}; ///< Time_ of the receiver's last reply
  bool IsRelay_ = false;
  std::uint64_t TreeId_ = 0; ///< of the sender's ZoneTree
  std::vector<DigestAge> KnownDigests_ =
      {}; ///< set only in requests to other zones

  friend bool operator==(const HeartbeatRequest &,
                         const HeartbeatRequest &) = default;
};

} // namespace ebony::membership

#endif
