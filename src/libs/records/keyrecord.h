#ifndef EBONY_RECORDS_KEYRECORD_H
#define EBONY_RECORDS_KEYRECORD_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::records {

/// A customer's key; only its salted hash is stored.
struct KeyRecord {
  std::string Name_;
  base::CustomerName Customer_;
  std::string SaltHex_;
  std::string HashHex_;

  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

} // namespace ebony::records

#endif
