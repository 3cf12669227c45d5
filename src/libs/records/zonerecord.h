#ifndef EBONY_RECORDS_ZONERECORD_H
#define EBONY_RECORDS_ZONERECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// An availability zone and the region that it belongs to.
struct ZoneRecord {
  base::ZoneName Name_;
  base::RegionName Region_;

  friend bool operator==(const ZoneRecord &, const ZoneRecord &) = default;
};

} // namespace ebony::records

#endif
