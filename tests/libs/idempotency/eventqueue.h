#ifndef EBONY_TESTS_IDEMPOTENCY_EVENTQUEUE_H
#define EBONY_TESTS_IDEMPOTENCY_EVENTQUEUE_H

#include "base/time.h"

#include <functional>
#include <map>

namespace ebony::tests {

/// Queue of events in virtual time.
class EventQueue {
public:
  using Event = std::function<void()>;

  base::TimePoint now() const { return Now_; }
  void after(base::Duration Delay, Event Callback);

  /// Runs all events that are due up to \p End.
  void runUntil(base::TimePoint End);

private:
  base::TimePoint Now_;
  std::multimap<base::TimePoint, Event> Events_;
};

} // namespace ebony::tests

#endif
