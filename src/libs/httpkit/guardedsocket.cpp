#include "httpkit/guardedsocket.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

namespace ebony::httpkit {

namespace {

// Largest head of a request, with what the session reads ahead of it.
constexpr std::size_t MaxHeadBytes = 64UL * 1024;

// A client that sends this much of a body is not taken for stopped.
constexpr std::size_t ProgressBytes = 16UL * 1024;

} // namespace

GuardedSocket::GuardedSocket(poco_socket_t Handle, ConnectionGuardPtr Guard)
    : StreamSocketImpl(Handle),
      Guard_(std::move(Guard)), Activity_{base::ConnectionUse::Unused,
                                          Guard_->now()} {
  Guard_->add(*this);
}

GuardedSocket::~GuardedSocket() { Guard_->remove(*this); }

void GuardedSocket::close() {
  // The handle may be used for another connection afterwards.
  Guard_->remove(*this);
  StreamSocketImpl::close();
}

void GuardedSocket::interrupt() { ::shutdown(sockfd(), SHUT_RDWR); }

int GuardedSocket::receiveBytes(void *Buffer, int Length, int Flags) {
  if (IsHeadTooLarge_)
    return 0;
  if (!IsInHead_)
    Guard_->setUse(*this, base::ConnectionUse::Waiting, BodyProgressAt_);
  int Received = 0;
  try {
    Received = StreamSocketImpl::receiveBytes(Buffer, Length, Flags);
  } catch (...) {
    HasEnded_ = true;
    throw;
  }
  if (Received <= 0) {
    HasEnded_ = true;
    return Received;
  }
  const auto Count = static_cast<std::size_t>(Received);
  if (IsInHead_) {
    HeadBytes_ += Count;
    IsHeadTooLarge_ = HeadBytes_ > MaxHeadBytes;
    return IsHeadTooLarge_ ? 0 : Received;
  }
  Guard_->setUse(*this, base::ConnectionUse::Busy);
  BytesSinceProgress_ += Count;
  if (BytesSinceProgress_ >= ProgressBytes) {
    BytesSinceProgress_ = 0;
    BodyProgressAt_ = Guard_->now();
  }
  return Received;
}

int GuardedSocket::sendBytes(const void *Buffer, int Length, int Flags) {
  Guard_->setUse(*this, base::ConnectionUse::Waiting);
  const int Sent = StreamSocketImpl::sendBytes(Buffer, Length, Flags);
  Guard_->setUse(*this, base::ConnectionUse::Busy);
  return Sent;
}

GuardedSocket::HeadEnd GuardedSocket::endHead() {
  IsInHead_ = false;
  HeadBytes_ = 0;
  BytesSinceProgress_ = 0;
  BodyProgressAt_ = Guard_->now();
  Guard_->setUse(*this, base::ConnectionUse::Busy);
  if (IsHeadTooLarge_) {
    Guard_->recordLargeHead();
    return HeadEnd::TooLarge;
  }
  return HasEnded_ ? HeadEnd::Cut : HeadEnd::Complete;
}

void GuardedSocket::endRequest() {
  IsInHead_ = true;
  Guard_->setUse(*this, base::ConnectionUse::Idle);
}

GuardedSocket *guardedSocket(Poco::Net::HTTPServerRequest &Request) {
  auto *Implementation =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&Request);
  return Implementation
             ? dynamic_cast<GuardedSocket *>(Implementation->socket().impl())
             : nullptr;
}

bool hasConnectionEnded(Poco::Net::HTTPServerRequest &Request) {
  const GuardedSocket *Socket = guardedSocket(Request);
  return Socket && Socket->hasEnded();
}

} // namespace ebony::httpkit
