#ifndef EBONY_TRAFFIC_RETRYBUDGET_H
#define EBONY_TRAFFIC_RETRYBUDGET_H

#include "base/name.h"
#include "base/time.h"

#include <cstddef>
#include <deque>
#include <map>

namespace ebony::traffic {

/// Limits the retries to each service, so that their total over all VMs stays
/// below ratio x requests + slack in each time window.
///
/// Load pattern: many upstreams fail at once and every request could be
/// retried, while VMs end and start again.
class RetryBudget {
public:
  /// \p Ratio and \p Slack apply to the fleet. This VM applies the ratio to its
  /// own requests. It uses its share of the slack once it has known the number
  /// of VMs for \p Window: what an earlier process of this VM has spent of it
  /// counts no longer then.
  RetryBudget(double Ratio, double Slack, base::Duration Window)
      : Ratio_(Ratio), Slack_(Slack), Window_(Window) {}

  /// Sets the number of VMs, this one included and those that it has not heard
  /// of yet. A smaller number counts only after a while: the others may be
  /// alive and cut off from this one.
  void setVmCount(std::size_t Count, base::TimePoint Now);

  void recordRequest(const base::ServiceName &Service, base::TimePoint Now);

  /// Charges one retry to the budget; returns false if the budget is used up.
  bool acquire(const base::ServiceName &Service, base::TimePoint Now);

private:
  struct Counts {
    std::deque<base::TimePoint> Requests_;
    std::deque<base::TimePoint> Retries_;
  };

  void expire(std::deque<base::TimePoint> &Times, base::TimePoint Now) const;
  /// Returns this VM's share of the slack.
  double slackShare(base::TimePoint Now) const;

  double Ratio_;
  double Slack_;
  base::Duration Window_;
  /// 0 until the number is known.
  std::size_t VmCount_ = 0;
  base::TimePoint VmCountSeenAt_{};
  base::TimePoint VmCountKnownSince_{};
  std::map<base::ServiceName, Counts> Counts_;
};

} // namespace ebony::traffic

#endif
