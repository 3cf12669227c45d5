#ifndef EBONY_ASYNCKIT_DEADLINE_H
#define EBONY_ASYNCKIT_DEADLINE_H

#include "base/time.h"

#include <boost/intrusive/list.hpp>

#include <functional>

namespace ebony::asynckit {

class DeadlineList;

/// Calls a function once when its time has come, unless it is disarmed first.
class Deadline
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  explicit Deadline(DeadlineList &Owner) : Owner_(Owner) {}

  void arm(base::TimePoint At, std::function<void()> Expired);
  void disarm();

  bool hasExpired() const { return HasExpired_; }

private:
  friend class DeadlineList;

  DeadlineList &Owner_;
  base::TimePoint At_{};
  std::function<void()> Expired_;
  bool HasExpired_ = false;
};

/// Deadlines of a process that are checked at each tick. One timer of the
/// system for all of them costs fewer wake-ups than one each.
class DeadlineList {
public:
  /// Calls those whose time has come.
  void tick(base::TimePoint Now);

private:
  friend class Deadline;

  boost::intrusive::list<Deadline, boost::intrusive::constant_time_size<false>>
      Armed_;
};

} // namespace ebony::asynckit

#endif
