#ifndef EBONY_MEMBERSHIP_PULLTRACKER_H
#define EBONY_MEMBERSHIP_PULLTRACKER_H

#include "base/vmidentity.h"
#include "membership/membershipsettings.h"
#include "membership/processtime.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ebony::membership {

/// Pulls that wait for an answer, and the targets that failed to give one.
class PullTracker {
public:
  explicit PullTracker(const MembershipSettings &Settings);

  bool isWaiting(const base::VmAddress &Target) const;
  void sent(const base::VmAddress &Target, std::int64_t Sequence,
            const ProcessTime &Now);

  /// When the pull left that \p Sequence names; empty when nothing waits for
  /// it, so that a late or crossed answer is dropped.
  std::optional<ProcessTime> answered(const base::VmAddress &Target,
                                      std::int64_t Sequence);

  void failed(const base::VmAddress &Target, const ProcessTime &Now);

  /// Fails the pulls that are past the timeout and names their targets.
  std::vector<base::VmAddress> expire(const ProcessTime &Now);

  /// Targets that failed several times in a row lately.
  std::set<base::VmAddress> avoided(const ProcessTime &Now) const;

private:
  struct Waiting {
    std::int64_t Sequence_ = 0;
    ProcessTime Sent_;
  };
  struct Failures {
    unsigned Count_ = 0;
    ProcessTime Last_;
  };

  base::Duration Timeout_;
  base::Duration AvoidSpan_;
  std::map<base::VmAddress, Waiting> Waiting_;
  std::map<base::VmAddress, Failures> Failures_;
};

} // namespace ebony::membership

#endif
