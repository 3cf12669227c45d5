#ifndef EBONY_ASYNCKIT_AUTORESETEVENT_H
#define EBONY_ASYNCKIT_AUTORESETEVENT_H

#include "asynckit/awaiting.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ebony::asynckit {

/// Event that one coroutine waits for and that is reset when the wait ends.
class AutoResetEvent {
public:
  explicit AutoResetEvent(boost::asio::io_context &Context)
      : Timer_(Context, boost::asio::steady_timer::time_point::max()) {}

  /// Sets the event: resumes the waiting coroutine, or lets the next wait()
  /// return at once.
  void notify() {
    IsSet_ = true;
    Timer_.cancel();
  }

  awaitable<void> wait() {
    while (!IsSet_) {
      error_code Ignored; // Cancellation of the timer is the notification.
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
