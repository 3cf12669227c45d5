#ifndef EBONY_ASYNCKIT_DEADLINE_H
#define EBONY_ASYNCKIT_DEADLINE_H

#include "base/time.h"

#include <boost/intrusive/list.hpp>

#include <functional>

namespace ebony::asynckit {

class DeadlineList;

/// Timer that calls a function once at a given time, unless it is disarmed
/// first.
class Deadline
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  explicit Deadline(DeadlineList &List) : List_(List) {}

  void arm(base::TimePoint At, std::function<void()> OnExpiry);
  void disarm();

  bool hasExpired() const { return HasExpired_; }

private:
  friend class DeadlineList;

  DeadlineList &List_;
  base::TimePoint At_{};
  std::function<void()> OnExpiry_;
  bool HasExpired_ = false;
};

/// Armed deadlines of a process, checked at each tick. One system timer for all
/// of them causes fewer wake-ups than one timer each.
class DeadlineList {
public:
  /// Calls the functions of all deadlines that have expired at \p Now.
  void tick(base::TimePoint Now);

private:
  friend class Deadline;

  using Deadlines =
      boost::intrusive::list<Deadline,
                             boost::intrusive::constant_time_size<false>>;

  Deadlines Armed_;
};

} // namespace ebony::asynckit

#endif
