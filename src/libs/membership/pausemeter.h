#ifndef EBONY_MEMBERSHIP_PAUSEMETER_H
#define EBONY_MEMBERSHIP_PAUSEMETER_H

#include "membership/processtime.h"

namespace ebony::membership {

/// Detects pauses of this process by the gaps between its readings of the
/// clock, so that they don't count as missing heartbeats of other VMs.
class PauseMeter {
public:
  /// The part of a gap that exceeds \p Threshold counts as a pause.
  explicit PauseMeter(base::Duration Threshold) : Threshold_(Threshold) {}

  /// Returns the process time at \p Now. Has to be called more often than the
  /// threshold.
  ProcessTime observe(base::TimePoint Now);

private:
  base::Duration Threshold_;
  bool HasStarted_ = false;
  ProcessTime Last_;
};

} // namespace ebony::membership

#endif
