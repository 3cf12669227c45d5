#ifndef EBONY_MEMBERSHIP_PEERSYNCSTATE_H
#define EBONY_MEMBERSHIP_PEERSYNCSTATE_H

#include "base/vmidentity.h"
#include "membership/processtime.h"

#include <cstdint>
#include <map>
#include <set>

namespace ebony::membership {

/// How far this VM has read the tables of a peer.
struct PeerSyncState {
  base::Incarnation Incarnation_ = 0;
  ProcessTime Time_ = {}; ///< of the peer's last reply, by the peer's clock
  ProcessTime ReceivedAt_ = {}; ///< when this VM applied that reply
  std::int64_t Version_ = 0;
  std::int64_t DigestVersion_ = 0;
  std::map<base::VmAddress, base::VmIdentity> ReportedLive_;
  std::set<base::ZoneName> ReportedReachable_;
};

} // namespace ebony::membership

#endif
