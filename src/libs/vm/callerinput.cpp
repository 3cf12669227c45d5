#include "vm/callerinput.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace ebony::vm {

namespace {

// Bytes that are kept unparsed before the socket is left unread.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;

// Size of a socket's receive buffer while a body is received.
constexpr int LargeBufferBytes = 128 * 1024;

// Reads whose times are kept apart; the bytes of further ones count as arrived
// with the last of these.
constexpr std::size_t MaxArrivals = 64;

// Bytes that are read at once.
constexpr std::size_t ReadBytes = 8UL * 1024;

} // namespace

void CallerInput::start(std::function<void()> OnDisconnect,
                        std::function<void()> OnRead) {
  OnDisconnect_ = std::move(OnDisconnect);
  OnRead_ = std::move(OnRead);
  arm();
}

void CallerInput::stop() { end(false); }

void CallerInput::detach() {
  Socket_ = nullptr;
  OnDisconnect_ = nullptr;
  OnRead_ = nullptr;
}

std::size_t CallerInput::heldBytes() const {
  if (HasLargeBuffer_)
    return Bytes_.capacity() + LargeBufferBytes;
  const bool IsLeftUnread = bytes().size() >= MaxUnparsedBytes;
  return Bytes_.capacity() + (IsLeftUnread ? ReceiveBufferBytes : 0);
}

void CallerInput::setLargeBuffer(bool IsLarge) {
  if (IsLarge == HasLargeBuffer_ || !Socket_)
    return;
  HasLargeBuffer_ = IsLarge;
  boost::system::error_code Ignored; // The size only affects the throughput.
  Socket_->set_option(boost::asio::socket_base::receive_buffer_size(
                          IsLarge ? LargeBufferBytes : ReceiveBufferBytes),
                      Ignored);
}

void CallerInput::consume(std::size_t Count) {
  Consumed_ += Count;
  while (!Arrivals_.empty() &&
         Arrivals_.front().End_ <= BytesBefore_ + Consumed_)
    Arrivals_.erase(Arrivals_.begin());
  if (Consumed_ == Bytes_.size()) {
    BytesBefore_ += Consumed_;
    Consumed_ = 0;
    // An idle connection keeps no buffer.
    std::string().swap(Bytes_);
  }
  if (!IsArmed_)
    arm();
}

base::TimePoint CallerInput::arrivedAt() const {
  return Arrivals_.empty() ? Clock_.now() : Arrivals_.front().ReadAt_;
}

void CallerInput::arm() {
  if (HasEnded_ || !Socket_ || bytes().size() >= MaxUnparsedBytes)
    return;
  IsArmed_ = true;
  Socket_->async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](boost::system::error_code Error) {
        Self->IsArmed_ = false;
        if (!Self->Socket_ || Self->HasEnded_)
          return;
        if (Error)
          Self->end(true);
        else
          Self->readSocket();
      });
}

void CallerInput::readSocket() {
  std::array<char, ReadBytes> Chunk;
  const ssize_t Received =
      recv(Socket_->native_handle(), Chunk.data(), Chunk.size(), MSG_DONTWAIT);
  if (Received < 0 && (errno == EAGAIN || errno == EINTR)) {
    arm();
    return;
  }
  if (Received <= 0) {
    end(true);
    return;
  }
  if (Consumed_ > 0) {
    Bytes_.erase(0, Consumed_);
    BytesBefore_ += Consumed_;
    Consumed_ = 0;
  }
  Bytes_.append(Chunk.data(), static_cast<std::size_t>(Received));
  const std::uint64_t End = BytesBefore_ + Bytes_.size();
  if (Arrivals_.size() < MaxArrivals)
    Arrivals_.push_back({End, Clock_.now()});
  else
    Arrivals_.back().End_ = End;
  arm();
  Changed_.notify();
  if (OnRead_)
    OnRead_();
}

void CallerInput::end(bool IsDisconnect) {
  if (HasEnded_)
    return;
  HasEnded_ = true;
  Changed_.notify();
  const std::function<void()> OnDisconnect = std::move(OnDisconnect_);
  OnDisconnect_ = nullptr;
  if (IsDisconnect && OnDisconnect)
    OnDisconnect();
}

} // namespace ebony::vm
