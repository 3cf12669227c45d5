#ifndef EBONY_VM_EXCHANGE_H
#define EBONY_VM_EXCHANGE_H

#include "asynckit/awaiting.h"
#include "asynckit/deadline.h"
#include "traffic/attemptresult.h"
#include "vm/callerrequest.h"
#include "vm/headernames.h"
#include "vm/upstreamlinks.h"

#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace ebony::vm {

/// Gives the next piece of a request's body; empty at its end, nothing when the
/// caller broke off.
using BodySource =
    std::function<asynckit::awaitable<std::optional<std::string>>()>;

/// What one attempt has to be told besides the request.
struct ExchangeTerms {
  base::UpstreamName Upstream_;
  boost::asio::ip::tcp::endpoint Address_;
  /// No answer is read after this.
  base::TimePoint Limit_{};
  /// From here on a silent upstream is given up if that is allowed then.
  base::TimePoint SilentFrom_{};
  /// Whether another attempt will follow; asked once, at that time.
  std::function<bool()> MayGiveUp_;
  /// What the upstream is told of the time left.
  base::Duration TimeLeft_{};
  /// Longest time to open a connection.
  base::Duration ConnectTimeOut_{};
  /// Longest time that a reused connection may have been idle.
  base::Duration MostIdle_{};
};

/// One attempt to have a request answered by one upstream.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(const HeaderNames &Names, UpstreamLinks &Links,
           asynckit::DeadlineList &Deadlines, ExchangeTerms Terms);
  ~Exchange();

  /// Sends the request and reads the head of the answer and its body, as far
  /// as that fits into memory kept for one request.
  asynckit::awaitable<traffic::AttemptResult> run(const CallerRequest &Request,
                                                  BodySource MoreBody);

  /// Reads on into \p Piece. Empty at the end of the body; false when the
  /// answer broke off.
  asynckit::awaitable<bool> readMore(std::string &Piece);

  /// Ends the attempt; the upstream sees the connection close.
  void abandon();

  /// Keeps the connection for other requests if nothing is left on it.
  void release(base::TimePoint Now);

  const boost::beast::http::fields &fields() const { return Parser_->get(); }
  unsigned status() const { return Parser_->get().result_int(); }
  std::string_view reason() const;
  const std::string &body() const { return Body_; }
  bool isWhole() const { return Parser_ && Parser_->is_done(); }
  bool wasSent() const { return WasSent_; }
  /// Length of the answer's body as the upstream gave it; -1 for none.
  std::int64_t bodyLength() const;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  asynckit::awaitable<bool> connect();
  void armTimer();
  void armFinalTimer();
  asynckit::awaitable<void> sendRest(std::shared_ptr<Exchange> Self,
                                     BodySource MoreBody, bool IsChunked);
  asynckit::awaitable<bool> readHead(const CallerRequest &Request);
  asynckit::awaitable<bool> readInto(std::string &Piece);
  std::string headOf(const CallerRequest &Request, bool IsChunked) const;
  traffic::AttemptResult failure() const;

  const HeaderNames &Names_;
  UpstreamLinks &Links_;
  ExchangeTerms Terms_;
  asynckit::Deadline Timer_;
  UpstreamLinkPtr Link_;
  std::optional<Parser> Parser_;
  std::string Body_;
  std::string Unsent_;
  bool IsSending_ = false;
  bool IsSendBroken_ = false;
  bool WasSent_ = false;
  bool IsAbandoned_ = false;
};

} // namespace ebony::vm

#endif
