#ifndef EBONY_RECORDS_LINKRECORD_H
#define EBONY_RECORDS_LINKRECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// The link between two regions; the bandwidth applies to each direction.
struct LinkRecord {
  std::string Name_;
  base::RegionName From_;
  base::RegionName To_;
  std::int64_t MegabitsPerSecond_ = 0;
  base::Duration OneWayLatency_{0};

  friend bool operator==(const LinkRecord &, const LinkRecord &) = default;
};

} // namespace ebony::records

#endif
