#ifndef EBONY_RECORDS_SERVICERECORD_H
#define EBONY_RECORDS_SERVICERECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// A service that callers name in the path of their requests.
struct ServiceRecord {
  base::ServiceName Name_;
  /// Maximum time from the arrival of a request to its response.
  base::Duration Timeout_{0};
  std::int64_t MaxBodyBytes_ = 0;

  friend bool operator==(const ServiceRecord &,
                         const ServiceRecord &) = default;
};

} // namespace ebony::records

#endif
