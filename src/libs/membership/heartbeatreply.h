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

/// Answer to a HeartbeatRequest: what changed since the versions it names.
struct HeartbeatReply {
  VmStatus Status_;
  std::int64_t AnswersSequence_ = 0;
  ProcessTime Time_ = {}; ///< of the answer; the next pull echoes it
  base::Incarnation SupersededBy_ = 0; ///< not 0: the sender has to end
  bool IsWhole_ = false; ///< members and digests are complete, not changes
  bool Vouches_ = false; ///< members told as live before are so still
  std::int64_t Version_ = 0;
  std::vector<MemberEntry> Members_ = {};
  std::vector<RelayedHeartbeat> Heard_ =
      {}; ///< only to relays of the same zone
  std::int64_t DigestVersion_ = 0;
  std::vector<DigestEntry> Digests_ = {};
  std::vector<DigestAge> Refreshed_ = {}; ///< digests whose content is known
  std::vector<base::VmAddress> Relays_ =
      {}; ///< whom to ask instead; may be empty

  friend bool operator==(const HeartbeatReply &,
                         const HeartbeatReply &) = default;
};

} // namespace ebony::membership

#endif
