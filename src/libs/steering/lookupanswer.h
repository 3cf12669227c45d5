#ifndef EBONY_STEERING_LOOKUPANSWER_H
#define EBONY_STEERING_LOOKUPANSWER_H

#include "base/time.h"
#include "base/vmidentity.h"

#include <cstdint>
#include <vector>

namespace ebony::steering {

/// Entry VMs for a caller, and how long the caller may use this answer.
struct LookupAnswer {
  base::ZoneName Zone_;
  std::vector<base::VmAddress> EntryVms_ = {}; ///< in order of preference
  base::Duration TimeToLive_{0};
  std::int64_t PlanRevision_ = 0;
  bool IsFallback_ = false; ///< no zone of the plan is healthy

  friend bool operator==(const LookupAnswer &, const LookupAnswer &) = default;
};

} // namespace ebony::steering

#endif
