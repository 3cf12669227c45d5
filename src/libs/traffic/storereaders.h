#ifndef EBONY_TRAFFIC_STOREREADERS_H
#define EBONY_TRAFFIC_STOREREADERS_H

#include "traffic/membertable.h"

namespace ebony::traffic {

/// Whether this VM reads the store for the other VMs of its region: the first
/// by name of those that live, stay and have fresh knowledge. Two VMs may think
/// so for a moment; that costs calls and nothing else.
///
/// Load pattern: a fleet that starts, readers that end, are cut off from the
/// store or are turned down by it.
bool readsForRegion(const MemberReport &Own, const MemberTable &Members,
                    base::TimePoint Now);

/// What another VM says about the age of its knowledge.
struct FreshnessClaim {
  /// Start of the process that the echoed report came from.
  std::int64_t EchoIncarnation_ = 0;
  /// Time at which the echoed report was sent, by this VM's clock.
  base::TimePoint EchoSentAt_{};
  /// Age of the knowledge when the claim was made.
  base::Duration Age_{};

  friend bool operator==(const FreshnessClaim &,
                         const FreshnessClaim &) = default;
};

/// Time, by this VM's clock, at which the claimed knowledge was complete for
/// sure, however long the claim was under way: it was made after the echoed
/// report was sent. Nothing when the echo is of another process.
std::optional<base::TimePoint> confirmedTime(const FreshnessClaim &Claim,
                                             std::int64_t OwnIncarnation,
                                             base::TimePoint Now);

} // namespace ebony::traffic

#endif
