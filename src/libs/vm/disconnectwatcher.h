#ifndef EBONY_VM_DISCONNECTWATCHER_H
#define EBONY_VM_DISCONNECTWATCHER_H

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace ebony::vm {

/// Detects that a caller closes its connection while its request is processed.
class DisconnectWatcher
    : public std::enable_shared_from_this<DisconnectWatcher> {
public:
  explicit DisconnectWatcher(boost::asio::ip::tcp::socket &Socket)
      : Socket_(&Socket) {}

  /// Calls \p OnDisconnect once when the caller disconnects.
  void start(std::function<void()> OnDisconnect);

  /// Stops watching: the request is complete and the caller may close.
  void stop() { OnDisconnect_ = nullptr; }

  /// Releases the socket, which is about to be destroyed.
  void detach() {
    OnDisconnect_ = nullptr;
    Socket_ = nullptr;
  }

  bool hasDisconnected() const { return HasDisconnected_; }

private:
  void arm();
  void checkSocket();

  boost::asio::ip::tcp::socket *Socket_;
  std::function<void()> OnDisconnect_;
  bool IsArmed_ = false;
  bool HasDisconnected_ = false;
};

} // namespace ebony::vm

#endif
