#ifndef EBONY_BASE_CLOCK_H
#define EBONY_BASE_CLOCK_H

#include "base/time.h"

namespace ebony::base {

/// Source of the present monotonic time.
class Clock {
public:
  virtual ~Clock() = default;

  virtual TimePoint now() const = 0;
};

} // namespace ebony::base

#endif
