#ifndef EBONY_VM_CALLERINPUT_H
#define EBONY_VM_CALLERINPUT_H

#include "asynckit/autoresetevent.h"
#include "base/clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ebony::vm {

/// Bytes that one caller has sent and that are not parsed yet.
///
/// Reads continuously while requests are processed, so that the caller's
/// disconnect is noticed at once, also behind unparsed requests, and the time
/// at which each request arrived is known. The socket is left unread beyond a
/// bound.
class CallerInput : public std::enable_shared_from_this<CallerInput> {
public:
  /// Size of the receive buffer of a caller's socket. What a crowd has sent
  /// before its requests are read takes memory, too.
  static constexpr int ReceiveBufferBytes = 16 * 1024;

  CallerInput(boost::asio::io_context &Context,
              boost::asio::ip::tcp::socket &Socket, const base::Clock &Clock)
      : Socket_(&Socket), Clock_(Clock), Changed_(Context) {}

  /// Starts reading. \p OnDisconnect is called once when the caller closes the
  /// connection or it fails, \p OnRead whenever bytes were added.
  void start(std::function<void()> OnDisconnect,
             std::function<void()> OnRead = nullptr);

  /// Ends the input: nothing more is read, and bytes() stays as it is.
  void stop();

  /// Releases the socket, which is about to be destroyed.
  void detach();

  std::string_view bytes() const {
    return std::string_view(Bytes_).substr(Consumed_);
  }

  /// Returns the memory that the bytes take, with those that wait in the socket
  /// while it is left unread.
  std::size_t heldBytes() const;

  /// Enlarges the receive buffer of the socket while a body is received, or
  /// resets it. The memory of a large buffer is accounted for.
  void setLargeBuffer(bool IsLarge);

  /// Removes the first \p Count bytes.
  void consume(std::size_t Count);

  /// Returns the time at which the first of bytes() was read from the socket.
  base::TimePoint arrivedAt() const;

  /// Whether no more bytes will be added.
  bool hasEnded() const { return HasEnded_; }

  /// Resumes what waits for a change.
  void wake() { Changed_.notify(); }

  /// Waits until bytes were added or the input has ended.
  asynckit::awaitable<void> awaitChange() { co_await Changed_.wait(); }

private:
  /// The bytes up to End_, counted from the first byte of the connection, were
  /// read at ReadAt_.
  struct Arrival {
    std::uint64_t End_ = 0;
    base::TimePoint ReadAt_{};
  };

  void arm();
  void readSocket();
  void end(bool IsDisconnect);

  boost::asio::ip::tcp::socket *Socket_;
  const base::Clock &Clock_;
  asynckit::AutoResetEvent Changed_;
  std::function<void()> OnDisconnect_;
  std::function<void()> OnRead_;
  std::string Bytes_;
  std::size_t Consumed_ = 0;
  /// Number of bytes of the connection before Bytes_.
  std::uint64_t BytesBefore_ = 0;
  std::vector<Arrival> Arrivals_;
  bool IsArmed_ = false;
  bool HasLargeBuffer_ = false;
  bool HasEnded_ = false;
};

} // namespace ebony::vm

#endif
