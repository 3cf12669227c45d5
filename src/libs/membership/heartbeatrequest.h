#ifndef EBONY_MEMBERSHIP_HEARTBEATREQUEST_H
#define EBONY_MEMBERSHIP_HEARTBEATREQUEST_H

#include "membership/digestage.h"
#include "membership/processtime.h"
#include "membership/vmstatus.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ebony::membership {

/// Pull of one VM from another; it is the sender's heartbeat.
struct HeartbeatRequest {
  VmStatus Status_;
  base::Incarnation KnownIncarnation_ = 0; ///< of the receiver; 0: none known
  std::int64_t KnownVersion_ = 0;          ///< of the receiver's zone table
  std::int64_t KnownDigestVersion_ = 0;
  std::optional<ProcessTime> Echo_ = {}; ///< of the receiver's last answer
  bool IsRelay_ = false;
  std::uint64_t TreeId_ = 0; ///< of the relays that the sender sees
  std::vector<DigestAge> KnownDigests_ = {}; ///< only to other zones

  friend bool operator==(const HeartbeatRequest &,
                         const HeartbeatRequest &) = default;
};

} // namespace ebony::membership

#endif
