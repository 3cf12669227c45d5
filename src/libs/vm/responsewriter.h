#ifndef EBONY_VM_RESPONSEWRITER_H
#define EBONY_VM_RESPONSEWRITER_H

#include "asynckit/awaiting.h"
#include "vm/callerrequest.h"
#include "vm/upstreamattempt.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace ebony::vm {

/// A response that the VM itself generates.
struct LocalResponse {
  unsigned Status_ = 503;
  std::string Reason_;
  /// Delay after which the caller may retry; zero for none. Sent only with
  /// statuses which state that the request was not executed.
  base::Duration RetryAfter_{};
};

/// Writes responses to one caller.
class ResponseWriter {
public:
  /// How the relay of an upstream's response ended.
  enum class RelayResult { Whole, CallerDisconnected, Truncated };

  ResponseWriter(boost::asio::ip::tcp::socket &Socket, const HeaderNames &Names)
      : Socket_(Socket), Names_(Names) {}

  /// Sends \p Response. \p KeepsOpen is whether the connection stays open,
  /// which the response states. Returns false if sending failed.
  asynckit::awaitable<bool> refuse(const CallerRequest &Request,
                                   const LocalResponse &Response,
                                   bool KeepsOpen);

  /// Relays the upstream's response, streaming the part of the body that
  /// \p Attempt has not read yet.
  asynckit::awaitable<RelayResult>
  relay(const CallerRequest &Request, UpstreamAttempt &Attempt, bool KeepsOpen);

  /// Sends 100 Continue to a caller that waits for it before it sends the body.
  asynckit::awaitable<bool> sendContinue();

private:
  asynckit::awaitable<bool> send(const std::string &Bytes);

  boost::asio::ip::tcp::socket &Socket_;
  const HeaderNames &Names_;
};

} // namespace ebony::vm

#endif
