#include "membership/pausemeter.h"

namespace ebony::membership {

ProcessTime PauseMeter::observe(base::TimePoint Now) {
  if (!HasStarted_) {
    HasStarted_ = true;
    Last_ = ProcessTime{Now, base::Duration(0)};
    return Last_;
  }
  if (Now <= Last_.Real_)
    return Last_;
  const base::Duration Gap = Now - Last_.Real_;
  Last_.Real_ = Now;
  if (Gap > Threshold_)
    Last_.Paused_ += Gap - Threshold_;
  return Last_;
}

} // namespace ebony::membership
