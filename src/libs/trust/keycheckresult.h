#ifndef EBONY_TRUST_KEYCHECKRESULT_H
#define EBONY_TRUST_KEYCHECKRESULT_H

#include "base/name.h"

namespace ebony::trust {

/// Whether a key is valid, and if not, why.
enum class KeyCheckStatus {
  Accepted,
  /// The text is not a key, or no record has its id, or the secret is wrong.
  /// Callers are not told which.
  Rejected,
  /// The key belongs to another customer than the request names.
  WrongCustomer,
  /// The configuration may be stale, so the key may have been revoked without
  /// this VM knowing. The request was not run.
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
