#include "trust/keyauthenticator.h"

namespace ebony::trust {

// Reads the freshness before the keys. A change is applied to the key table
// before its evidence counts, so the keys read here are at least as new as the
// evidence.
KeyCheckResult
KeyAuthenticator::check(std::string_view Text,
                        const base::CustomerName &RequestedCustomer,
                        base::TimePoint Now) const {
  if (!Freshness_.isFresh(Now))
    return {KeyCheckStatus::NotFresh, {}};
  return Keys_.check(Text, RequestedCustomer);
}

} // namespace ebony::trust
