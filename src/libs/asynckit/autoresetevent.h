#ifndef EBONY_ASYNCKIT_AUTORESETEVENT_H
#define EBONY_ASYNCKIT_AUTORESETEVENT_H

#include "asynckit/awaiting.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ebony::asynckit {

/// Lets one coroutine wait until another part of the process wakes it.
class AutoResetEvent {
public:
  explicit AutoResetEvent(boost::asio::io_context &Context)
      : Timer_(Context, boost::asio::steady_timer::time_point::max()) {}

  /// Wakes the waiting coroutine, or the next one that waits.
  void notify() {
    IsSet_ = true;
    Timer_.cancel();
  }

  awaitable<void> wait() {
    while (!IsSet_) {
      error_code Ignored; // A cancelled timer is the notification itself.
      co_await Timer_.async_wait(into(Ignored));
    }
    IsSet_ = false;
  }

private:
  boost::asio::steady_timer Timer_;
  bool IsSet_ = false;
};

} // namespace ebony::asynckit

#endif
