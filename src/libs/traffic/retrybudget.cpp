#include "traffic/retrybudget.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Fraction of the fleet's budget that is used. The rest allows for VMs with
// different views of the fleet and for requests at the edge of a window.
constexpr double UsableShare = 0.7;

// Time for which VMs that are no longer heard of keep their part of the slack;
// callers have left a VM that is cut off for longer.
constexpr base::Duration SilentVmDuration = std::chrono::seconds(60);

} // namespace

void RetryBudget::setVmCount(std::size_t Count, base::TimePoint Now) {
  if (Count < VmCount_ && Now - VmCountSeenAt_ < SilentVmDuration)
    return;
  if (VmCount_ == 0)
    VmCountKnownSince_ = Now;
  VmCount_ = std::max<std::size_t>(Count, 1);
  VmCountSeenAt_ = Now;
}

double RetryBudget::slackShare(base::TimePoint Now) const {
  if (VmCount_ == 0 || Now - VmCountKnownSince_ < Window_)
    return 0;
  return Slack_ / static_cast<double>(VmCount_);
}

void RetryBudget::expire(std::deque<base::TimePoint> &Times,
                         base::TimePoint Now) const {
  while (!Times.empty() && Now - Times.front() > Window_)
    Times.pop_front();
}

void RetryBudget::recordRequest(const base::ServiceName &Service,
                                base::TimePoint Now) {
  Counts &ServiceCounts = Counts_[Service];
  expire(ServiceCounts.Requests_, Now);
  ServiceCounts.Requests_.push_back(Now);
}

bool RetryBudget::acquire(const base::ServiceName &Service,
                          base::TimePoint Now) {
  Counts &ServiceCounts = Counts_[Service];
  expire(ServiceCounts.Requests_, Now);
  expire(ServiceCounts.Retries_, Now);
  const double Allowed =
      UsableShare *
      (Ratio_ * static_cast<double>(ServiceCounts.Requests_.size()) +
       slackShare(Now));
  if (static_cast<double>(ServiceCounts.Retries_.size()) + 1 > Allowed)
    return false;
  ServiceCounts.Retries_.push_back(Now);
  return true;
}

} // namespace ebony::traffic
