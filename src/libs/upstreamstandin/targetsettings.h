#ifndef EBONY_UPSTREAMSTANDIN_TARGETSETTINGS_H
#define EBONY_UPSTREAMSTANDIN_TARGETSETTINGS_H

#include "base/time.h"

#include <cstdint>
#include <string>

namespace ebony::upstreamstandin {

/// Settings of one upstream target that the process hosts.
struct TargetSettings {
  std::string Name_;
  std::string Address_;
  std::uint16_t Port_ = 0;
  int Slots_ = 1;
  base::Duration ServiceTime_{0};    ///< Mean time of one run.
  base::Duration ProbeCost_{0};      ///< Time to answer a health or load probe.
  base::Duration ConnectionCost_{0}; ///< Time to accept a connection.
  base::Duration ColdExtra_{0};      ///< Added to the first run when cold.
  int ColdRuns_ = 0;                 ///< Runs until the target is warm.

  friend bool operator==(const TargetSettings &,
                         const TargetSettings &) = default;
};

} // namespace ebony::upstreamstandin

#endif
