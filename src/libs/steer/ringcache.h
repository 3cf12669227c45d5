#ifndef EBONY_STEER_RINGCACHE_H
#define EBONY_STEER_RINGCACHE_H

#include "fleet/memberlist.h"
#include "records/configuration.h"
#include "steering/customerring.h"

#include <cstdint>
#include <memory>
#include <mutex>

namespace ebony::steer {

/// Caches the customer ring of this VM's zone and rebuilds it when the members
/// or the configuration change. Thread-safe.
class RingCache {
public:
  explicit RingCache(base::ZoneName Zone);

  std::shared_ptr<const steering::CustomerRing>
  ringFor(const fleet::MemberList &Members,
          const records::Configuration &Configuration);

private:
  base::ZoneName Zone_;
  std::mutex Mutex_;
  std::int64_t MembersVersion_ = -1;
  std::int64_t Revision_ = -1;
  std::shared_ptr<const steering::CustomerRing> Ring_;
};

} // namespace ebony::steer

#endif
