#ifndef EBONY_PLATFORMSTANDIN_RATELIMIT_H
#define EBONY_PLATFORMSTANDIN_RATELIMIT_H

#include "base/time.h"

namespace ebony::platformstandin {

/// Token bucket that limits operations per second; its burst is the number of
/// tokens of one second.
class RateLimit {
public:
  explicit RateLimit(double PerSecond)
      : PerSecond_(PerSecond), Tokens_(PerSecond) {}

  /// Takes a token for an operation at \p Now; returns false when none is left.
  bool tryAcquire(base::TimePoint Now);

private:
  double PerSecond_;
  double Tokens_;
  base::TimePoint LastRefill_{};
};

} // namespace ebony::platformstandin

#endif
