#ifndef EBONY_VM_REQUESTOUTCOME_H
#define EBONY_VM_REQUESTOUTCOME_H

#include "base/time.h"

#include <string>

namespace ebony::vm {

/// Result of a request, as written to its log line.
struct RequestOutcome {
  base::TimePoint Started_{};
  std::string Route_;
  std::string Service_;
  /// Upstream of the last attempt.
  std::string Upstream_;
  /// VM to which the request was relayed; empty if it was not.
  std::string RelayedTo_;
  /// Position of that upstream in the request's placement order.
  std::size_t Rank_ = 0;
  /// Latency that the dispatcher predicted for the last attempt.
  base::Duration PredictedLatency_{};
  /// Time for which the request waited for a slot, over all attempts.
  base::Duration Waited_{};
  /// Time for which the available response waited for those of earlier requests
  /// of the connection.
  base::Duration WaitedForTurn_{};
  unsigned Status_ = 0;
  /// "served", "refused", "failed" or "abandoned".
  std::string Outcome_;
  std::string Reason_;

  friend bool operator==(const RequestOutcome &,
                         const RequestOutcome &) = default;
};

} // namespace ebony::vm

#endif
