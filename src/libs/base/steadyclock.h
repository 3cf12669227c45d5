#ifndef EBONY_BASE_STEADYCLOCK_H
#define EBONY_BASE_STEADYCLOCK_H

#include "base/clock.h"

namespace ebony::base {

/// The machine's monotonic clock, which goes on while the machine sleeps.
class SteadyClock final : public Clock {
public:
  TimePoint now() const override;
};

} // namespace ebony::base

#endif
