#include "asynckit/deadline.h"

#include <vector>

namespace ebony::asynckit {

void Deadline::arm(base::TimePoint At, std::function<void()> OnExpiry) {
  disarm();
  At_ = At;
  OnExpiry_ = std::move(OnExpiry);
  HasExpired_ = false;
  List_.Armed_.push_back(*this);
}

void Deadline::disarm() {
  if (is_linked())
    unlink();
  OnExpiry_ = nullptr;
}

void DeadlineList::tick(base::TimePoint Now) {
  // The functions may arm, disarm or destroy other deadlines, so they are
  // called after the iteration over the list.
  std::vector<std::function<void()>> Due;
  for (auto It = Armed_.begin(); It != Armed_.end();) {
    Deadline &Current = *It++;
    if (Current.At_ > Now)
      continue;
    Current.HasExpired_ = true;
    Due.push_back(std::move(Current.OnExpiry_));
    Current.disarm();
  }
  for (const std::function<void()> &OnExpiry : Due)
    OnExpiry();
}

} // namespace ebony::asynckit
