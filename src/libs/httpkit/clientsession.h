#ifndef EBONY_HTTPKIT_CLIENTSESSION_H
#define EBONY_HTTPKIT_CLIENTSESSION_H

#include "base/time.h"
#include "wire/endpoint.h"

#include <Poco/Net/HTTPClientSession.h>

#include <string>

namespace ebony::httpkit {

/// HTTP session over one TCP connection that never reconnects.
class ClientSession final : public Poco::Net::HTTPClientSession {
public:
  /// Connects to \p Peer from \p SourceAddress, or from any address when it is
  /// empty. Throws Poco::Exception when the connection fails; no part of a
  /// request has been sent in that case.
  ClientSession(const wire::Endpoint &Peer, const std::string &SourceAddress,
                base::Duration ConnectTimeout);

  /// Sets the timeout of each later send and receive.
  void setIoTimeout(base::Duration Timeout);

  /// Sends the rest of the request that was written to \p Body, the stream that
  /// sendRequest() returned, which is gone then. Returns whether the whole
  /// request was sent: the streams hide a failed write.
  bool endRequest(std::ostream &Body);

  /// Returns whether the peer has closed the idle connection or sent
  /// unsolicited data on it.
  bool isStale();

protected:
  void connect(const Poco::Net::SocketAddress &Address) override;
};

} // namespace ebony::httpkit

#endif
