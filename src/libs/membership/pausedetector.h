#ifndef EBONY_MEMBERSHIP_PAUSEDETECTOR_H
#define EBONY_MEMBERSHIP_PAUSEDETECTOR_H

#include "membership/processtime.h"

namespace ebony::membership {

/// Tells the process's own pauses from the silence of others by the gaps
/// between its readings of the clock.
class PauseDetector {
public:
  /// A gap longer than \p Threshold counts as a pause past the threshold.
  explicit PauseDetector(base::Duration Threshold) : Threshold_(Threshold) {}

  /// Moment at \p Now; called more often than the threshold.
  ProcessTime read(base::TimePoint Now);

private:
  base::Duration Threshold_;
  bool HasStarted_ = false;
  ProcessTime Last_;
};

} // namespace ebony::membership

#endif
