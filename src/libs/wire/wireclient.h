#ifndef EBONY_WIRE_WIRECLIENT_H
#define EBONY_WIRE_WIRECLIENT_H

#include "base/time.h"
#include "wire/endpoint.h"
#include "wire/limits.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <memory>

namespace ebony::wire {

/// Thrift connection to a peer that serves the service of \p Client, used by
/// one thread. Connects on the first call and reconnects after a failure. Calls
/// throw apache::thrift::TException on failure or timeout.
template <typename Client> class WireClient {
public:
  WireClient(const Endpoint &Peer, base::Duration Timeout)
      : Socket_(std::make_shared<apache::thrift::transport::TSocket>(
            Peer.Address_, Peer.Port_, wireConfiguration(MaxReplyFrameBytes))),
        Transport_(
            std::make_shared<apache::thrift::transport::TFramedTransport>(
                Socket_, wireConfiguration(MaxReplyFrameBytes))),
        Stub_(std::make_shared<apache::thrift::protocol::TCompactProtocol>(
            Transport_)) {
    const auto Millis = static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Timeout).count());
    Socket_->setConnTimeout(Millis);
    Socket_->setSendTimeout(Millis);
    Socket_->setRecvTimeout(Millis);
  }

  /// Invokes \p Call with the stub. Closes the connection on failure, because
  /// the reply to the failed call could otherwise be read as the reply to the
  /// next.
  template <typename Function> auto call(Function &&Call) {
    try {
      if (!Transport_->isOpen())
        Transport_->open();
      return Call(Stub_);
    } catch (...) {
      Transport_->close();
      throw;
    }
  }

private:
  std::shared_ptr<apache::thrift::transport::TSocket> Socket_;
  std::shared_ptr<apache::thrift::transport::TFramedTransport> Transport_;
  Client Stub_;
};

} // namespace ebony::wire

#endif
