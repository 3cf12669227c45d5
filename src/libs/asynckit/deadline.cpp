#include "asynckit/deadline.h"

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
  // A function may arm, disarm or destroy other deadlines. Those that are due
  // are in a list of their own, from which they unlink themselves.
  Deadlines Due;
  for (auto It = Armed_.begin(); It != Armed_.end();) {
    Deadline &Current = *It++;
    if (Current.At_ > Now)
      continue;
    Current.unlink();
    Due.push_back(Current);
  }
  while (!Due.empty()) {
    Deadline &Next = Due.front();
    Next.HasExpired_ = true;
    const std::function<void()> OnExpiry = std::move(Next.OnExpiry_);
    Next.disarm();
    OnExpiry();
  }
}

} // namespace ebony::asynckit
