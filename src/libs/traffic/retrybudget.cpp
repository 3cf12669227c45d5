#include "traffic/retrybudget.h"

namespace ebony::traffic {

namespace {

// Part of the fleet's budget that is used; the rest covers VMs that restart
// with empty counts and requests that cross the edge of a window.
constexpr double Used = 0.7;

} // namespace

void RetryBudget::expire(std::deque<base::TimePoint> &Times,
                         base::TimePoint Now) const {
  while (!Times.empty() && Now - Times.front() > Window_)
    Times.pop_front();
}

void RetryBudget::recordRequest(const base::ServiceName &Service,
                                base::TimePoint Now) {
  Counts &Own = Counts_[Service];
  expire(Own.Requests_, Now);
  Own.Requests_.push_back(Now);
}

bool RetryBudget::acquire(const base::ServiceName &Service,
                          base::TimePoint Now) {
  Counts &Own = Counts_[Service];
  expire(Own.Requests_, Now);
  expire(Own.Retries_, Now);
  const double Allowed =
      Used * (Ratio_ * static_cast<double>(Own.Requests_.size()) +
              Slack_ / static_cast<double>(VmCount_));
  if (static_cast<double>(Own.Retries_.size()) + 1 > Allowed)
    return false;
  Own.Retries_.push_back(Now);
  return true;
}

} // namespace ebony::traffic
