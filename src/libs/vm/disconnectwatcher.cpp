#include "vm/disconnectwatcher.h"

#include <sys/socket.h>

#include <cerrno>

namespace ebony::vm {

void DisconnectWatcher::start(std::function<void()> OnDisconnect) {
  OnDisconnect_ = std::move(OnDisconnect);
  if (!IsArmed_)
    arm();
}

void DisconnectWatcher::arm() {
  IsArmed_ = true;
  Socket_->async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](boost::system::error_code Error) {
        Self->IsArmed_ = false;
        if (!Error && Self->Socket_ && Self->OnDisconnect_)
          Self->checkSocket();
      });
}

// A readable socket holds either the next request, which stays in the socket,
// or the end of the stream.
void DisconnectWatcher::checkSocket() {
  char Byte = 0;
  const ssize_t Received =
      recv(Socket_->native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Received > 0)
    return;
  if (Received < 0 && (errno == EAGAIN || errno == EINTR)) {
    arm();
    return;
  }
  HasDisconnected_ = true;
  const std::function<void()> OnDisconnect = std::move(OnDisconnect_);
  OnDisconnect_ = nullptr;
  OnDisconnect();
}

} // namespace ebony::vm
