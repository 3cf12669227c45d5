#ifndef EBONY_TRUST_KEYENTRY_H
#define EBONY_TRUST_KEYENTRY_H

#include "base/name.h"

#include <string>

namespace ebony::trust {

/// Stored data of one API key. The secret itself is stored nowhere, only its
/// salted hash.
struct KeyEntry {
  std::string Id_;
  base::CustomerName Customer_;
  std::string Salt_;
  /// Result of keyHash() for the secret of the key.
  std::string Hash_;

  friend bool operator==(const KeyEntry &, const KeyEntry &) = default;
};

} // namespace ebony::trust

#endif
