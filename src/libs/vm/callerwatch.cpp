#include "vm/callerwatch.h"

#include <sys/socket.h>

#include <cerrno>

namespace ebony::vm {

void CallerWatch::start(std::function<void()> Gone) {
  Gone_ = std::move(Gone);
  if (!IsArmed_)
    arm();
}

void CallerWatch::arm() {
  IsArmed_ = true;
  Socket_->async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [Own = shared_from_this()](boost::system::error_code Error) {
        Own->IsArmed_ = false;
        if (!Error && Own->Socket_ && Own->Gone_)
          Own->look();
      });
}

// Readable means data of a next request, which waits its turn, or the end.
void CallerWatch::look() {
  char Byte = 0;
  const ssize_t Got =
      recv(Socket_->native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Got > 0)
    return;
  if (Got < 0 && (errno == EAGAIN || errno == EINTR)) {
    arm();
    return;
  }
  IsGone_ = true;
  const std::function<void()> Gone = std::move(Gone_);
  Gone_ = nullptr;
  Gone();
}

} // namespace ebony::vm
