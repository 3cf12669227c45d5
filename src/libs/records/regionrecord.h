#ifndef EBONY_RECORDS_REGIONRECORD_H
#define EBONY_RECORDS_REGIONRECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// A region: a group of availability zones.
struct RegionRecord {
  base::RegionName Name_;

  friend bool operator==(const RegionRecord &, const RegionRecord &) = default;
};

} // namespace ebony::records

#endif
