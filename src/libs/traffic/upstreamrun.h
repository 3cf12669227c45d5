#ifndef EBONY_TRAFFIC_UPSTREAMRUN_H
#define EBONY_TRAFFIC_UPSTREAMRUN_H

#include "base/time.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>

namespace ebony::traffic {

/// What is known about one run of an upstream, from a start of its process to
/// its end, whatever entries of it come and go.
struct UpstreamRun
    : boost::intrusive_ref_counter<UpstreamRun, boost::thread_unsafe_counter> {
  /// Start of the process in milliseconds of Unix time; 0 if unknown.
  std::int64_t StartedUnixMs_ = 0;
  /// Highest sequence number of its entries.
  std::optional<std::int64_t> Sequence_;
  /// When the upstream's entry was removed; std::nullopt while it is listed.
  std::optional<base::TimePoint> RemovedAt_;
  /// Sequence number of the first entry since then.
  std::optional<std::int64_t> SequenceSinceRemoval_;
  /// Time of the last entry that was not outdated.
  base::TimePoint LastEntryAt_{};
  /// Time at which the upstream was last known to be listed.
  base::TimePoint LastListedAt_{};
  /// Whether an entry has said that the upstream leaves.
  bool HasReportedDraining_ = false;
  /// Whether an entry or a response has said so. A run that leaves does not
  /// come back.
  bool IsLeaving_ = false;
  /// Until when the run wants no requests of this VM.
  base::TimePoint QuietUntil_{};
};

using UpstreamRunPtr = boost::intrusive_ptr<UpstreamRun>;

} // namespace ebony::traffic

#endif
