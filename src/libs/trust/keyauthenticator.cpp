#include "trust/keyauthenticator.h"

namespace ebony::trust {

// Freshness is read before the keys: a change is applied to the keys before
// its evidence counts, so the keys read here are at least as new as it.
KeyCheckResult
KeyAuthenticator::check(std::string_view Text,
                        const base::CustomerName &RequestedCustomer,
                        base::TimePoint Now) const {
  if (!Freshness_.isFresh(Now))
    return {KeyCheckStatus::NotFresh, {}};
  return Keys_.check(Text, RequestedCustomer);
}

} // namespace ebony::trust
