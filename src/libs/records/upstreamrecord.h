#ifndef EBONY_RECORDS_UPSTREAMRECORD_H
#define EBONY_RECORDS_UPSTREAMRECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// One upstream: a target of one service in one availability zone.
struct UpstreamRecord {
  base::UpstreamName Name_;
  base::ServiceName Service_;
  base::ZoneName Zone_;
  std::string Address_;
  std::uint16_t Port_ = 0;
  /// Number of requests that the upstream processes concurrently.
  std::int64_t Slots_ = 0;
  std::int64_t Connections_ = 0;

  friend bool operator==(const UpstreamRecord &,
                         const UpstreamRecord &) = default;
};

} // namespace ebony::records

#endif
