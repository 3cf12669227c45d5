#ifndef EBONY_UPSTREAMSTANDIN_TARGET_H
#define EBONY_UPSTREAMSTANDIN_TARGET_H

#include "base/randomengine.h"
#include "standin/httpanswer.h"
#include "upstreamstandin/admission.h"
#include "upstreamstandin/loadhistory.h"
#include "upstreamstandin/targetledger.h"
#include "upstreamstandin/targetorders.h"
#include "upstreamstandin/targetsettings.h"

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace ebony::upstreamstandin {

/// Slots, injected faults and ledger of one upstream target, without sockets or
/// sleeps.
/// Thread-safe.
class Target {
public:
  Target(const TargetSettings &Settings, base::RandomEngine Random);

  const TargetSettings &settings() const { return Settings_; }

  /// Acquires a slot for \p Request if one is free and no injected fault
  /// refuses the request.
  Admission admit(const RunRequest &Request, base::TimePoint Now);

  /// Records the run of a non-idempotent request in the ledger. To be called
  /// once the whole request has arrived.
  void recordRun(const RunRequest &Request);

  /// Releases the slot of \p FinishedRun.
  void releaseSlot(const Run &FinishedRun, base::TimePoint Now);

  /// Cancels the run of request \p Id; returns false when it is not in flight.
  bool cancel(const base::RequestId &Id);

  /// Returns the in-flight count that the target reports, with an injected lag
  /// or a false value.
  int reportedLoad(base::TimePoint Now) const;

  /// Applies the injected faults (lost, cut or crossed answers) to \p Answer.
  standin::HttpAnswer applyAnswerFaults(standin::HttpAnswer Answer);

  /// Counts a request that carried a caller's key.
  void recordKeyLeak();
  TargetOrders orders() const;
  void setOrders(const TargetOrders &Orders);
  TargetLedger ledger() const;

private:
  base::Duration drawServiceTime();

  const TargetSettings Settings_;
  mutable std::mutex Lock_;
  base::RandomEngine Random_;
  TargetOrders Orders_;
  LoadHistory History_;
  std::unordered_map<base::RequestId, Run::Ptr> Running_;
  std::map<std::string, LedgerEntry> Entries_;
  TargetLedger Ledger_;
  std::uint64_t RunsSinceCold_ = 0;
  int InFlight_ = 0;
  standin::HttpAnswer LastAnswer_;
};

} // namespace ebony::upstreamstandin

#endif
