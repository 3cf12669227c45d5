#ifndef EBONY_LOAD_REQUESTRECORD_H
#define EBONY_LOAD_REQUESTRECORD_H

#include "base/time.h"

#include <string>
#include <vector>

namespace ebony::load {

/// Final outcome of a request as known to its caller.
enum class Outcome {
  Served,   ///< Complete 2xx answer received.
  NotRun,   ///< Refused and reported as not run.
  Unknown,  ///< May have run.
  Complete, ///< Ran, with a status other than 2xx.
  NoVm      ///< No look-up result or no connection.
};

/// One submission of a request.
struct AttemptRecord {
  std::string RequestId_;
  Outcome Outcome_ = Outcome::NoVm;
  int Status_ = 0;

  friend bool operator==(const AttemptRecord &,
                         const AttemptRecord &) = default;
};

/// Timing and result of one request. Times are relative to the start of the
/// run.
struct RequestRecord {
  std::size_t Customer_ = 0;
  std::size_t Class_ = 0;
  std::size_t HomeZone_ = 0;
  base::Duration Intended_{0};
  base::Duration Started_{0}; ///< A worker picked the request up.
  base::Duration Sent_{0}; ///< Attempt 1 started, after the outbound latency.
  base::Duration Answered_{0}; ///< Last answer, before the latency back.
  base::Duration Done_{0};     ///< Includes the latency back to the caller.
  Outcome Outcome_ = Outcome::NoVm;
  std::string Operation_; ///< Idempotency key.
  std::vector<AttemptRecord> Attempts_;
  bool Mismatched_ = false; ///< Answer or body of another request.
  bool Truncated_ = false;  ///< Body cut although its framing was complete.

  friend bool operator==(const RequestRecord &,
                         const RequestRecord &) = default;
};

} // namespace ebony::load

#endif
