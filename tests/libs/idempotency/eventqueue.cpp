#include "libs/idempotency/eventqueue.h"

#include <utility>

namespace ebony::tests {

void EventQueue::after(base::Duration Delay, Event Callback) {
  Events_.emplace(Now_ + Delay, std::move(Callback));
}

void EventQueue::runUntil(base::TimePoint End) {
  while (!Events_.empty() && Events_.begin()->first <= End) {
    auto First = Events_.extract(Events_.begin());
    Now_ = First.key();
    First.mapped()();
  }
  Now_ = End;
}

} // namespace ebony::tests
