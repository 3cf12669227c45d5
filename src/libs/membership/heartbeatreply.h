#ifndef EBONY_MEMBERSHIP_HEARTBEATREPLY_H
#define EBONY_MEMBERSHIP_HEARTBEATREPLY_H

#include "membership/digestage.h"
#include "membership/digestentry.h"
#include "membership/memberentry.h"
#include "membership/processtime.h"
#include "membership/relayedheartbeat.h"

#include <cstdint>
#include <vector>

namespace ebony::membership {

/// Reply to a HeartbeatRequest with the changes since the versions it names.
struct HeartbeatReply {
  VmStatus Status_;
  std::int64_t RequestSequence_ = 0;
  ProcessTime Time_ = {}; ///< of the reply; the next pull echoes it
  base::Incarnation SupersededBy_ =
      0;                ///< if not 0, the requesting process has to end
  bool IsFull_ = false; ///< members and digests are complete, not a delta
  bool RenewsReports_ = false; ///< earlier reports of live members and
                               ///< reachable zones still hold
  std::int64_t Version_ = 0;
  std::vector<MemberEntry> Members_ = {};
  std::vector<RelayedHeartbeat> RelayedHeartbeats_ =
      {}; ///< only for relays of the same zone
  std::int64_t DigestVersion_ = 0;
  std::vector<DigestEntry> Digests_ = {};
  std::vector<DigestAge> RefreshedDigests_ =
      {}; ///< new ages of digests that the receiver has
  std::vector<base::VmAddress> Relays_ =
      {}; ///< relays to pull from instead; may be empty

  friend bool operator==(const HeartbeatReply &,
                         const HeartbeatReply &) = default;
};

} // namespace ebony::membership

#endif
