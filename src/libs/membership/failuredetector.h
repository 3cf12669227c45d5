#ifndef EBONY_MEMBERSHIP_FAILUREDETECTOR_H
#define EBONY_MEMBERSHIP_FAILUREDETECTOR_H

#include "membership/membershipsettings.h"
#include "membership/processtime.h"

#include <optional>

namespace ebony::membership {

/// Judges one VM by the gaps between its heartbeats. The limit follows the
/// gaps' mean and jitter between the shortest and the longest silence; the
/// process's own pauses don't count.
class FailureDetector {
public:
  explicit FailureDetector(const MembershipSettings &Settings);

  /// Word that was given at \p Given came in at \p Now.
  void hear(const ProcessTime &Given, const ProcessTime &Now);

  bool suspects(const ProcessTime &Now) const;

  /// Silence after which the VM is suspected.
  base::Duration limit() const;

  const std::optional<ProcessTime> &lastHeard() const { return LastHeard_; }

private:
  base::Duration Shortest_;
  base::Duration Longest_;
  std::optional<ProcessTime> LastHeard_;
  double MeanGap_;
  double Deviation_;
};

} // namespace ebony::membership

#endif
