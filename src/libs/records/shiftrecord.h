#ifndef EBONY_RECORDS_SHIFTRECORD_H
#define EBONY_RECORDS_SHIFTRECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// A rate-limited shift of a service's traffic from one availability zone to
/// another.
struct ShiftRecord {
  std::string Name_;
  base::ServiceName Service_;
  base::ZoneName From_;
  base::ZoneName To_;
  /// Final share of the source zone's traffic to move, in thousandths.
  std::int64_t TargetPermille_ = 0;
  /// Maximum number of requests moved within one interval.
  std::int64_t CapPerInterval_ = 0;
  base::Duration Interval_{0};

  friend bool operator==(const ShiftRecord &, const ShiftRecord &) = default;
};

} // namespace ebony::records

#endif
