#ifndef EBONY_LOAD_LEDGER_H
#define EBONY_LOAD_LEDGER_H

#include "base/finding.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::load {

/// Non-idempotent execution recorded by an upstream stand-in.
struct LedgerRun {
  std::string RequestId_;
  std::string Customer_;
  std::string Operation_;
  std::int64_t Count_ = 0;

  friend bool operator==(const LedgerRun &, const LedgerRun &) = default;
};

/// Slot usage of one target.
struct TargetUsage {
  std::string Name_;
  std::int64_t Slots_ = 0;
  std::int64_t MaxInFlight_ = 0;
  double BusySeconds_ = 0;

  friend bool operator==(const TargetUsage &, const TargetUsage &) = default;
};

/// Executions and violations recorded by the upstream stand-ins.
struct Ledger {
  std::vector<LedgerRun> Runs_;
  std::vector<TargetUsage> Targets_;
  std::int64_t SlotViolations_ = 0;
  std::int64_t KeyLeaks_ = 0;

  /// Adds the entries and counts of another process's ledger.
  void merge(const Ledger &Other);

  friend bool operator==(const Ledger &, const Ledger &) = default;
};

/// Parses JSON text \p Text. Returns the ledger, or all errors found.
base::Checked<Ledger> parseLedger(const std::string &Text,
                                  const std::string &Source);

} // namespace ebony::load

#endif
