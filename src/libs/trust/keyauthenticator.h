#ifndef EBONY_TRUST_KEYAUTHENTICATOR_H
#define EBONY_TRUST_KEYAUTHENTICATOR_H

#include "trust/freshnesstracker.h"
#include "trust/keytable.h"

namespace ebony::trust {

/// Decides whether a request may use a key at this moment. Requests that
/// waited in a queue or came over a persistent connection are checked again
/// right before they are sent to an upstream.
class KeyAuthenticator {
public:
  KeyAuthenticator(const KeyTable &Keys, const FreshnessTracker &Freshness)
      : Keys_(Keys), Freshness_(Freshness) {}

  /// Checks the key \p Text of a request at \p Now; see KeyTable::check().
  KeyCheckResult check(std::string_view Text,
                       const base::CustomerName &RequestedCustomer,
                       base::TimePoint Now) const;

private:
  const KeyTable &Keys_;
  const FreshnessTracker &Freshness_;
};

} // namespace ebony::trust

#endif
