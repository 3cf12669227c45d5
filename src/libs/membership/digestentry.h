#ifndef EBONY_MEMBERSHIP_DIGESTENTRY_H
#define EBONY_MEMBERSHIP_DIGESTENTRY_H

#include "base/time.h"
#include "membership/zonedigest.h"

namespace ebony::membership {

/// Digest of a zone, its age, and whether the zone is reachable.
struct DigestEntry {
  ZoneDigest Digest_;
  base::Duration Age_{0};
  bool IsReachable_ = false;

  friend bool operator==(const DigestEntry &, const DigestEntry &) = default;
};

} // namespace ebony::membership

#endif
