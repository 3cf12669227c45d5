#ifndef EBONY_VM_CALLERWATCH_H
#define EBONY_VM_CALLERWATCH_H

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace ebony::vm {

/// Notices that a caller closes its connection while its request is worked on.
class CallerWatch : public std::enable_shared_from_this<CallerWatch> {
public:
  explicit CallerWatch(boost::asio::ip::tcp::socket &Socket)
      : Socket_(&Socket) {}

  /// Calls \p Gone once when the caller leaves.
  void start(std::function<void()> Gone);

  /// The request is done; the caller may close as it likes.
  void stop() { Gone_ = nullptr; }

  /// The socket is about to be destroyed.
  void detach() {
    Gone_ = nullptr;
    Socket_ = nullptr;
  }

  bool isGone() const { return IsGone_; }

private:
  void arm();
  void look();

  boost::asio::ip::tcp::socket *Socket_;
  std::function<void()> Gone_;
  bool IsArmed_ = false;
  bool IsGone_ = false;
};

} // namespace ebony::vm

#endif
