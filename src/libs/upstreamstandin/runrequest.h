#ifndef EBONY_UPSTREAMSTANDIN_RUNREQUEST_H
#define EBONY_UPSTREAMSTANDIN_RUNREQUEST_H

#include "base/name.h"
#include "base/time.h"

#include <optional>
#include <string>

namespace ebony::upstreamstandin {

/// Request that a target is to run.
struct RunRequest {
  base::RequestId Id_;
  base::CustomerName Customer_;
  std::string Operation_; ///< Idempotency key; empty when absent.
  std::string Method_;
  std::optional<base::Duration> Deadline_; ///< Time left on arrival.

  bool isIdempotent() const { return Method_ != "POST" && Method_ != "PATCH"; }

  friend bool operator==(const RunRequest &, const RunRequest &) = default;
};

} // namespace ebony::upstreamstandin

#endif
