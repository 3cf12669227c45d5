#ifndef EBONY_TRAFFIC_NAMEDLIMIT_H
#define EBONY_TRAFFIC_NAMEDLIMIT_H

#include "traffic/reportedlimit.h"

#include <optional>

namespace ebony::traffic {

/// What a VM knows of the request rate that an upstream asks all VMs together
/// not to exceed. The upstream names the rate in each response for as long as
/// it needs the limit.
struct NamedLimit {
  /// Requests per second from all VMs together.
  double RatePerSecond_ = 0;
  /// Arrival of the newest response known to name the limit; the epoch if none
  /// has.
  base::TimePoint NamedAt_{};
  /// Arrival of a newer response without a limit; the epoch if there is none.
  base::TimePoint EndedAt_{};

  bool wasNamed() const { return NamedAt_ != base::TimePoint{}; }
  bool isInForce() const { return wasNamed() && EndedAt_ < NamedAt_; }

  /// Returns whether \p Other has another rate in force.
  bool differsInForce(const NamedLimit &Other) const {
    return isInForce() != Other.isInForce() ||
           (isInForce() && RatePerSecond_ != Other.RatePerSecond_);
  }

  /// Returns the knowledge after a response that arrived at \p Now to a request
  /// sent at \p Sent. \p Rate is the rate that it named, if any.
  NamedLimit afterResponse(std::optional<double> Rate, base::TimePoint Sent,
                           base::TimePoint Now) const;

  /// Returns the knowledge after another VM's report that arrived at \p Now.
  NamedLimit afterReport(const ReportedLimit &Report,
                         base::TimePoint Now) const;

  /// Returns what this VM reports to others; std::nullopt if the limit ended
  /// long ago or there was none.
  std::optional<ReportedLimit> toReport(base::TimePoint Now) const;

  /// Returns whether the limit is in force and no response has shown for a
  /// while that it still is.
  bool isTrialDue(base::TimePoint Now) const;

  /// Returns the rate that all VMs together have to keep at \p Now, if any.
  /// After the limit's end it rises for a short time before it is lifted.
  std::optional<double> rateAt(base::TimePoint Now) const;

  friend bool operator==(const NamedLimit &, const NamedLimit &) = default;
};

} // namespace ebony::traffic

#endif
