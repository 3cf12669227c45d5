#ifndef EBONY_TRAFFIC_CRASHREPORT_H
#define EBONY_TRAFFIC_CRASHREPORT_H

#include "base/time.h"
#include "traffic/nametag.h"
#include "traffic/requestfingerprint.h"

#include <vector>

namespace ebony::traffic {

/// A request that was under way at an upstream when its process ended.
struct ReportedCrash {
  /// Tag of the upstream's run.
  NameTag Run_ = 0;
  RequestFingerprint Request_ = 0;
  /// Time since the end of the process.
  base::Duration Age_{};
  /// Time for which the request had been under way.
  base::Duration RanFor_{};

  friend bool operator==(const ReportedCrash &,
                         const ReportedCrash &) = default;
};

/// A request with the time since something was found out about it.
struct ReportedRequest {
  RequestFingerprint Request_ = 0;
  base::Duration Age_{};

  friend bool operator==(const ReportedRequest &,
                         const ReportedRequest &) = default;
};

/// What a VM tells the others of requests and the ends of upstreams.
struct CrashReport {
  /// Recent ends that the VM has seen itself.
  std::vector<ReportedCrash> Crashes_;
  /// Requests that are refused, with the time since the last end they caused.
  std::vector<ReportedRequest> Blamed_;
  /// Requests that an upstream has answered, so that earlier ends had other
  /// causes.
  std::vector<ReportedRequest> Cleared_;

  friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

} // namespace ebony::traffic

#endif
