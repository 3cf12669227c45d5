#ifndef EBONY_MEMBERSHIP_PEERSYNCSTATE_H
#define EBONY_MEMBERSHIP_PEERSYNCSTATE_H

#include "base/vmidentity.h"
#include "membership/processtime.h"

#include <cstdint>
#include <map>
#include <set>

namespace ebony::membership {

/// How far a VM has read another one's tables.
struct PeerSyncState {
  base::Incarnation Incarnation_ = 0;
  ProcessTime Time_ = {};     ///< of its last answer, on its own time line
  ProcessTime Answered_ = {}; ///< when that answer was taken in
  std::int64_t Version_ = 0;
  std::int64_t DigestVersion_ = 0;
  std::map<base::VmAddress, base::VmIdentity> ToldLive_;
  std::set<base::ZoneName> ToldReachable_;
};

} // namespace ebony::membership

#endif
