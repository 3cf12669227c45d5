#ifndef EBONY_TRUST_KEYCHECKRESULT_H
#define EBONY_TRUST_KEYCHECKRESULT_H

#include "base/name.h"

namespace ebony::trust {

/// Result of checking a key.
enum class KeyCheckStatus {
  Accepted,
  /// The text is not a key, or no record has its id, or the secret is wrong.
  /// Callers are not told which.
  Rejected,
  /// The key belongs to another customer than the request names.
  WrongCustomer,
  /// This VM can't know whether the key is withdrawn; nothing was run.
  NotFresh,
};

/// Result of checking a key, with the customer that it belongs to.
struct KeyCheckResult {
  KeyCheckStatus Status_ = KeyCheckStatus::Rejected;
  /// Set only when the key is accepted.
  base::CustomerName Customer_;

  bool isAccepted() const { return Status_ == KeyCheckStatus::Accepted; }

  friend bool operator==(const KeyCheckResult &,
                         const KeyCheckResult &) = default;
};

} // namespace ebony::trust

#endif
