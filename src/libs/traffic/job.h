#ifndef EBONY_TRAFFIC_JOB_H
#define EBONY_TRAFFIC_JOB_H

#include "traffic/routesettings.h"
#include "traffic/upstreamstate.h"

#include <cstdint>
#include <vector>

namespace ebony::traffic {

/// Identifies a request within the process.
using JobId = std::uint64_t;

/// One request from its admission to its last attempt.
struct Job {
  JobId Id_ = 0;
  base::ServiceName Service_;
  std::string Route_;
  base::CustomerName Customer_;
  RetryPolicy RetryPolicy_ = RetryPolicy::AtMostOnce;
  int Priority_ = 0;
  std::uint64_t ObjectHash_ = 0;
  std::vector<base::RegionName> HomeRegions_;
  base::Duration LatencyObjective_{};
  base::TimePoint Arrived_{};
  /// End of the latency objective; a later response is worth less to the
  /// caller.
  base::TimePoint ObjectiveDeadline_{};
  /// A response after this no longer reaches the caller.
  base::TimePoint Deadline_{};
  /// Whether the request has been sent or queued.
  bool IsAdmitted_ = false;
  /// Upstreams in the order of preference.
  std::vector<UpstreamPtr> Order_;
  /// Upstreams that the request has been sent to.
  std::vector<base::UpstreamName> Tried_;

  bool wasTried(const base::UpstreamName &Name) const {
    for (const base::UpstreamName &TriedName : Tried_)
      if (TriedName == Name)
        return true;
    return false;
  }
};

} // namespace ebony::traffic

#endif
