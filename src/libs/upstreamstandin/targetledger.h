#ifndef EBONY_UPSTREAMSTANDIN_TARGETLEDGER_H
#define EBONY_UPSTREAMSTANDIN_TARGETLEDGER_H

#include "base/time.h"
#include "upstreamstandin/runrequest.h"

#include <cstdint>
#include <vector>

namespace ebony::upstreamstandin {

/// Non-idempotent request and the number of its runs.
struct LedgerEntry {
  RunRequest Request_;
  int Count_ = 0;

  friend bool operator==(const LedgerEntry &, const LedgerEntry &) = default;
};

/// Counters and recorded runs of a target since its start.
struct TargetLedger {
  std::vector<LedgerEntry> Runs_;
  std::uint64_t SlotViolations_ = 0;
  std::uint64_t KeyLeaks_ = 0; ///< Requests that carried a caller's key.
  std::uint64_t Served_ = 0;   ///< Runs that were admitted to a slot.
  int MaxInFlight_ = 0;
  base::Duration Busy_{0}; ///< Total slot time of all finished runs.

  friend bool operator==(const TargetLedger &, const TargetLedger &) = default;
};

} // namespace ebony::upstreamstandin

#endif
