#ifndef EBONY_TRAFFIC_ISOLATIONDETECTOR_H
#define EBONY_TRAFFIC_ISOLATIONDETECTOR_H

#include "base/time.h"
#include "traffic/membertable.h"

namespace ebony::traffic {

/// Decides whether this VM is cut off from all news of upstreams, so that any
/// of them may have become cold without its knowledge.
///
/// Load pattern: a zone is evacuated and taken back within seconds while VMs,
/// one by one or zone by zone, reach neither the store nor the other VMs.
///
/// A VM without news of the store that still hears all other VMs is not
/// isolated: the store has failed for all, or the others tell it what they
/// know. If some fell silent lately, they may be in touch with the store, and
/// the operator with them. Not thread-safe; reads no clock.
class IsolationDetector {
public:
  /// Updates the decision. \p NewsAge is the age of the VM's news of the store.
  /// Returns whether the decision changed.
  bool update(const MemberTable &Members, base::Duration NewsAge,
              base::TimePoint Now);

  bool isIsolated() const { return IsIsolated_; }

  /// Returns whether reports of most other VMs are overdue, so that this VM
  /// must not rely on them for news of the store.
  bool hearsFewVms() const { return HearsFewVms_; }

  /// Returns how many other VMs were heard of lately, at the last update.
  std::size_t heardCount() const { return HeardCount_; }
  /// Returns how many other VMs were expected.
  std::size_t expectedCount() const { return ExpectedCount_; }
  /// Returns how many of them fell silent a short time ago.
  std::size_t silentCount() const { return SilentCount_; }

private:
  bool IsIsolated_ = false;
  bool HearsFewVms_ = false;
  std::size_t HeardCount_ = 0;
  std::size_t ExpectedCount_ = 0;
  std::size_t SilentCount_ = 0;
};

} // namespace ebony::traffic

#endif
