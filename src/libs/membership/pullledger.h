#ifndef EBONY_MEMBERSHIP_PULLLEDGER_H
#define EBONY_MEMBERSHIP_PULLLEDGER_H

#include "base/vmidentity.h"
#include "membership/membershipsettings.h"
#include "membership/processtime.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ebony::membership {

/// Pending pulls, and the targets whose pulls failed lately.
class PullLedger {
public:
  explicit PullLedger(const MembershipSettings &Settings);

  bool isPending(const base::VmAddress &Target) const;
  void recordSent(const base::VmAddress &Target, std::int64_t Sequence,
                  const ProcessTime &Now);

  /// Ends the pending pull with \p Sequence and returns when it was sent.
  /// Returns std::nullopt if no such pull is pending, so that the caller drops
  /// a late or crossed reply.
  std::optional<ProcessTime> recordReply(const base::VmAddress &Target,
                                         std::int64_t Sequence);

  void recordFailure(const base::VmAddress &Target, const ProcessTime &Now);

  /// Fails the pulls that are past the timeout and returns their targets.
  std::vector<base::VmAddress> expire(const ProcessTime &Now);

  /// Returns the targets that failed several times in a row lately.
  std::set<base::VmAddress> avoidedTargets(const ProcessTime &Now) const;

private:
  struct PendingPull {
    std::int64_t Sequence_ = 0;
    ProcessTime SentAt_;
  };
  struct FailureRecord {
    unsigned Count_ = 0;
    ProcessTime LastFailure_;
  };

  base::Duration Timeout_;
  base::Duration AvoidancePeriod_;
  std::map<base::VmAddress, PendingPull> Pending_;
  std::map<base::VmAddress, FailureRecord> Failures_;
};

} // namespace ebony::membership

#endif
