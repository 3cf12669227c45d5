#ifndef EBONY_BASE_BACKOFF_H
#define EBONY_BASE_BACKOFF_H

#include "base/randomengine.h"
#include "base/time.h"

namespace ebony::base {

/// Exponential back-off with full jitter.
class Backoff {
public:
  Backoff(Duration First, Duration Longest, RandomEngine Random);

  /// Span to wait before the next attempt.
  Duration next();

  /// Starts again from the first span after a success.
  void reset() { Attempts_ = 0; }

private:
  Duration First_;
  Duration Longest_;
  RandomEngine Random_;
  unsigned Attempts_ = 0;
};

} // namespace ebony::base

#endif
