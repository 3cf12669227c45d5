#ifndef EBONY_RECORDS_CUSTOMERRECORD_H
#define EBONY_RECORDS_CUSTOMERRECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// A customer and its rate limits, which apply across the whole fleet.
struct CustomerRecord {
  base::CustomerName Name_;
  double RequestsPerSecond_ = 0;
  double BurstRequests_ = 0;
  /// Weight in a contended queue, relative to other customers.
  std::int64_t Weight_ = 1;

  friend bool operator==(const CustomerRecord &,
                         const CustomerRecord &) = default;
};

} // namespace ebony::records

#endif
