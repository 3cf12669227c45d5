#ifndef EBONY_LOAD_TOKENBUCKET_H
#define EBONY_LOAD_TOKENBUCKET_H

#include "base/time.h"

namespace ebony::load {

/// Token bucket of one customer's rate and burst. The report uses it to tell
/// refusals within the rate from refusals over it.
class TokenBucket {
public:
  TokenBucket(double RequestsPerSecond, double BurstRequests)
      : RequestsPerSecond_(RequestsPerSecond), BurstRequests_(BurstRequests),
        Tokens_(BurstRequests) {}

  /// Consumes a token at \p Now, which must not decrease between calls.
  /// Returns false when no whole token is left.
  bool tryConsume(base::Duration Now);

private:
  double RequestsPerSecond_;
  double BurstRequests_;
  double Tokens_;
  base::Duration LastRefill_{0};
};

} // namespace ebony::load

#endif
