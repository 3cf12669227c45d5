#ifndef EBONY_TESTS_VM_SHIFTEDCLOCK_H
#define EBONY_TESTS_VM_SHIFTEDCLOCK_H

#include "base/steadyclock.h"

namespace ebony::vm {

/// Steady clock that a test can set ahead, so that it need not wait.
class ShiftedClock final : public base::Clock {
public:
  base::TimePoint now() const override { return Steady_.now() + Shift_; }

  void advance(base::Duration Span) { Shift_ += Span; }

private:
  base::SteadyClock Steady_;
  base::Duration Shift_{};
};

} // namespace ebony::vm

#endif
