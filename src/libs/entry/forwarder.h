#ifndef EBONY_ENTRY_FORWARDER_H
#define EBONY_ENTRY_FORWARDER_H

#include "base/clock.h"
#include "entry/connectionpool.h"
#include "entry/requestbody.h"
#include "entry/requestcontext.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>

namespace ebony::entry {

/// Outcome of one attempt to forward a request.
enum class ForwardStatus {
  /// The complete response was sent to the caller.
  Answered,
  /// The connection failed; nothing was sent.
  Unreachable,
  /// The peer reported that it did not run the request.
  NotRun,
  /// The request was sent, but no complete response to it arrived; nothing was
  /// sent to the caller.
  Unknown,
  /// The response was truncated after a part was sent to the caller.
  Truncated,
  /// The body exceeded the limit of the service while it was forwarded.
  BodyTooLarge,
  /// The caller disconnected while its body was forwarded.
  CallerDisconnected,
  /// The deadline passed while the body was forwarded.
  BodyTooSlow,
};

/// Result of one attempt.
struct ForwardResult {
  ForwardStatus Status_ = ForwardStatus::Unknown;
  /// Load reported by the peer, in thousandths of its slots.
  std::optional<std::int64_t> ReportedPermille_;

  friend bool operator==(const ForwardResult &,
                         const ForwardResult &) = default;
};

/// Sends a request at most once to one peer, an upstream or an entry VM of
/// another zone, and copies the response to the caller.
class Forwarder {
public:
  Forwarder(ConnectionPool &Connections, const base::Clock &Clock);

  /// Sends the request to an upstream.
  ForwardResult forward(const RequestContext &Context,
                        const Poco::Net::HTTPServerRequest &Request,
                        RequestBody &Body, const wire::Endpoint &Peer,
                        Poco::Net::HTTPServerResponse &Response);

  /// Sends the request to the relay port of another entry VM.
  ForwardResult relay(const RequestContext &Context,
                      const Poco::Net::HTTPServerRequest &Request,
                      RequestBody &Body, const wire::Endpoint &Peer,
                      Poco::Net::HTTPServerResponse &Response);

private:
  struct PeerExchange;

  ForwardResult attempt(PeerExchange &Exchange);
  void buildRequestHead(PeerExchange &Exchange) const;
  ForwardResult send(PeerExchange &Exchange,
                     httpkit::ClientSession &Session) const;
  ForwardResult receive(PeerExchange &Exchange,
                        httpkit::ClientSession &Session) const;

  ConnectionPool &Connections_;
  const base::Clock &Clock_;
};

} // namespace ebony::entry

#endif
