#include "asynckit/deadline.h"

#include <vector>

namespace ebony::asynckit {

void Deadline::arm(base::TimePoint At, std::function<void()> Expired) {
  disarm();
  At_ = At;
  Expired_ = std::move(Expired);
  HasExpired_ = false;
  Owner_.Armed_.push_back(*this);
}

void Deadline::disarm() {
  if (is_linked())
    unlink();
  Expired_ = nullptr;
}

void DeadlineList::tick(base::TimePoint Now) {
  // The functions may arm, disarm or destroy other deadlines, so they are
  // called after the walk.
  std::vector<std::function<void()>> Due;
  for (auto One = Armed_.begin(); One != Armed_.end();) {
    Deadline &Each = *One++;
    if (Each.At_ > Now)
      continue;
    Each.HasExpired_ = true;
    Due.push_back(std::move(Each.Expired_));
    Each.disarm();
  }
  for (const std::function<void()> &Expired : Due)
    Expired();
}

} // namespace ebony::asynckit
