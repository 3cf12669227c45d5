#ifndef EBONY_TRAFFIC_STOREREADERS_H
#define EBONY_TRAFFIC_STOREREADERS_H

#include "traffic/membertable.h"

namespace ebony::traffic {

/// Returns whether this VM reads the store on behalf of its region. That is the
/// first VM by name which is live, not leaving, and has fresh store data. Two
/// VMs may be readers for a short time, which only costs additional calls.
///
/// Load pattern: a fleet that starts; readers that stop, are cut off from the
/// store or have their calls rejected by it.
bool readsForRegion(const MemberReport &OwnReport, const MemberTable &Members,
                    base::TimePoint Now);

/// Statement of another VM about the age of its store data.
struct FreshnessClaim {
  /// Incarnation of the process that sent the echoed report.
  std::int64_t EchoIncarnation_ = 0;
  /// Time at which the echoed report was sent, by this VM's clock.
  base::TimePoint EchoSentAt_{};
  /// Age of the store data when the claim was made.
  base::Duration Age_{};

  friend bool operator==(const FreshnessClaim &,
                         const FreshnessClaim &) = default;
};

/// Returns the latest time, by this VM's clock, at which the claimed data is
/// certain to have been complete. The claim was made after the echoed report
/// was sent, so the result holds regardless of the claim's transit time.
/// Returns std::nullopt if the echoed report came from another process or the
/// claim is invalid.
std::optional<base::TimePoint> confirmedTime(const FreshnessClaim &Claim,
                                             std::int64_t OwnIncarnation,
                                             base::TimePoint Now);

} // namespace ebony::traffic

#endif
