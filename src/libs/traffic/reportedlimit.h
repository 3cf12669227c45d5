#ifndef EBONY_TRAFFIC_REPORTEDLIMIT_H
#define EBONY_TRAFFIC_REPORTEDLIMIT_H

#include "base/time.h"

#include <optional>

namespace ebony::traffic {

/// A NamedLimit as one VM reports it to others, whose clocks differ.
struct ReportedLimit {
  /// Requests per second from all VMs together.
  double RatePerSecond_ = 0;
  /// Age of the newest response known to name the limit.
  base::Duration NamedAge_{};
  /// Age of a newer response without a limit, if there is one.
  std::optional<base::Duration> EndedAge_;

  friend bool operator==(const ReportedLimit &,
                         const ReportedLimit &) = default;
};

} // namespace ebony::traffic

#endif
