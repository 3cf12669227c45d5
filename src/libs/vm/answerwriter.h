#ifndef EBONY_VM_ANSWERWRITER_H
#define EBONY_VM_ANSWERWRITER_H

#include "asynckit/awaiting.h"
#include "vm/callerrequest.h"
#include "vm/exchange.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace ebony::vm {

/// An answer of this VM's own.
struct OwnAnswer {
  unsigned Status_ = 503;
  std::string Reason_;
  /// When the caller may return; zero for no advice. Only statuses that say
  /// that the request did not run carry it.
  base::Duration RetryAfter_{};
};

/// Writes answers to one caller.
class AnswerWriter {
public:
  /// How an upstream's answer reached the caller.
  enum class Relayed { Whole, CallerGone, BrokeOff };

  AnswerWriter(boost::asio::ip::tcp::socket &Socket, const HeaderNames &Names)
      : Socket_(Socket), Names_(Names) {}

  /// Both say in the answer whether the connection stays open.
  asynckit::awaitable<bool> refuse(const CallerRequest &Request,
                                   const OwnAnswer &Answer, bool KeepsOpen);
  asynckit::awaitable<Relayed> relay(const CallerRequest &Request,
                                     Exchange &Answer, bool KeepsOpen);

  /// Tells a caller that waits with its body to send it.
  asynckit::awaitable<bool> invite();

private:
  asynckit::awaitable<bool> send(const std::string &Bytes);

  boost::asio::ip::tcp::socket &Socket_;
  const HeaderNames &Names_;
};

} // namespace ebony::vm

#endif
