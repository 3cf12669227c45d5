#ifndef EBONY_VM_RESPONSEWRITER_H
#define EBONY_VM_RESPONSEWRITER_H

#include "asynckit/awaiting.h"
#include "base/clock.h"
#include "vm/callermemory.h"
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

  /// \p Share learns while the writer waits for the caller to read.
  ResponseWriter(boost::asio::ip::tcp::socket &Socket, const HeaderNames &Names,
                 MemoryShare &Share, const base::Clock &Clock)
      : Socket_(Socket), Names_(Names), Share_(Share), Clock_(Clock) {}

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
  MemoryShare &Share_;
  const base::Clock &Clock_;
};

} // namespace ebony::vm

#endif
