#ifndef EBONY_MEMBERSHIP_FAILUREDETECTOR_H
#define EBONY_MEMBERSHIP_FAILUREDETECTOR_H

#include "membership/membershipsettings.h"
#include "membership/processtime.h"

#include <optional>

namespace ebony::membership {

/// Suspects one VM by the gaps between its heartbeats. The timeout follows the
/// mean and the deviation of the gaps within the configured bounds. Pauses of
/// this process don't count.
class FailureDetector {
public:
  explicit FailureDetector(const MembershipSettings &Settings);

  /// Records a heartbeat that arrived at \p Now and shows that the VM was alive
  /// at \p AliveAt.
  void recordHeartbeat(const ProcessTime &AliveAt, const ProcessTime &Now);

  bool isSuspected(const ProcessTime &Now) const;

  /// Returns the running time without a heartbeat after which the VM is
  /// suspected.
  base::Duration suspicionTimeout() const;

  const std::optional<ProcessTime> &lastHeartbeat() const {
    return LastHeartbeat_;
  }

private:
  base::Duration MinTimeout_;
  base::Duration MaxTimeout_;
  std::optional<ProcessTime> LastHeartbeat_;
  double MeanGap_;
  double Deviation_;
};

} // namespace ebony::membership

#endif
