#ifndef EBONY_RECORDS_DRAINRECORD_H
#define EBONY_RECORDS_DRAINRECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// Drains an upstream: it receives no new requests.
struct DrainRecord {
  std::string Name_;
  base::UpstreamName Upstream_;

  friend bool operator==(const DrainRecord &, const DrainRecord &) = default;
};

} // namespace ebony::records

#endif
