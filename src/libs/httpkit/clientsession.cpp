#include "httpkit/clientsession.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace ebony::httpkit {

namespace {

namespace net = Poco::Net;

constexpr int MaxKeepAliveSeconds = 3600;

net::StreamSocket connectFrom(const wire::Endpoint &Peer,
                              const std::string &SourceAddress,
                              base::Duration Timeout) {
  auto *Implementation = new net::StreamSocketImpl;
  net::StreamSocket Socket(Implementation);
  if (!SourceAddress.empty())
    Implementation->bind(net::SocketAddress(SourceAddress, 0), false);
  Socket.connect(net::SocketAddress(Peer.Address_, Peer.Port_),
                 Poco::Timespan(Timeout.count()));
  Socket.setNoDelay(true);
  return Socket;
}

} // namespace

ClientSession::ClientSession(const wire::Endpoint &Peer,
                             const std::string &SourceAddress,
                             base::Duration ConnectTimeout)
    : HTTPClientSession(connectFrom(Peer, SourceAddress, ConnectTimeout)) {
  setKeepAlive(true);
  setKeepAliveTimeout(Poco::Timespan(MaxKeepAliveSeconds, 0));
}

void ClientSession::setIoTimeout(base::Duration Timeout) {
  const Poco::Timespan Span(Timeout.count());
  setTimeout(Span);
  socket().setSendTimeout(Span);
  socket().setReceiveTimeout(Span);
}

bool ClientSession::endRequest(std::ostream &Body) {
  const bool IsFlushed = Body.flush().good();
  flushRequest();
  return IsFlushed && networkException() == nullptr;
}

bool ClientSession::isStale() {
  return !connected() ||
         socket().poll(Poco::Timespan(0),
                       net::Socket::SELECT_READ | net::Socket::SELECT_ERROR);
}

// When a write fails, HTTPClientSession reconnects and sends the head again.
// The first head may have arrived, so the request could run twice.
void ClientSession::connect(const net::SocketAddress &) {
  throw net::ConnectionResetException(
      "HTTP session is closed and does not reconnect");
}

} // namespace ebony::httpkit
