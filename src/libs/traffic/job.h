#ifndef EBONY_TRAFFIC_JOB_H
#define EBONY_TRAFFIC_JOB_H

#include "traffic/routesettings.h"
#include "traffic/upstreamstate.h"

#include <cstdint>
#include <vector>

namespace ebony::traffic {

/// Number that tells one request from all others of a process.
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
  /// An answer after this is worth less to the caller.
  base::TimePoint ObjectiveDeadline_{};
  /// No answer after this reaches the caller.
  base::TimePoint Deadline_{};
  /// Whether it was taken in: it waited for a slot or was sent.
  bool IsAdmitted_ = false;
  /// Upstreams in the order of preference.
  std::vector<UpstreamPtr> Order_;
  /// Upstreams that the request was sent to.
  std::vector<base::UpstreamName> Tried_;

  bool wasTried(const base::UpstreamName &Name) const {
    for (const base::UpstreamName &One : Tried_)
      if (One == Name)
        return true;
    return false;
  }
};

} // namespace ebony::traffic

#endif
