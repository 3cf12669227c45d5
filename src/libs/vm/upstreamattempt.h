#ifndef EBONY_VM_UPSTREAMATTEMPT_H
#define EBONY_VM_UPSTREAMATTEMPT_H

#include "asynckit/awaiting.h"
#include "asynckit/deadline.h"
#include "httpwire/responseparser.h"
#include "traffic/attemptresult.h"
#include "vm/callerrequest.h"
#include "vm/headernames.h"
#include "vm/upstreamconnectionpool.h"

#include <functional>
#include <memory>
#include <optional>

namespace ebony::vm {

/// Returns the next part of a request's body, an empty string at its end, and
/// std::nullopt if the caller disconnected.
using BodySource =
    std::function<asynckit::awaitable<std::optional<std::string>>()>;

/// What an attempt is made at. A VM gets the caller's key, so that it can admit
/// the request; an upstream gets the customer's name in its place.
enum class AttemptTarget { Upstream, Peer };

/// Parameters of an attempt besides the request.
struct AttemptOptions {
  AttemptTarget Target_ = AttemptTarget::Upstream;
  /// Name of the upstream or VM.
  base::UpstreamName Upstream_;
  boost::asio::ip::tcp::endpoint Address_;
  /// Address of this VM from which a connection is opened; any if empty.
  std::optional<boost::asio::ip::address> LocalAddress_;
  /// The attempt ends at this time.
  base::TimePoint Deadline_{};
  /// Time at which the attempt times out if the head of the response has
  /// not arrived and MayGiveUp_ returns true.
  base::TimePoint GiveUpAfter_{};
  /// Returns whether another attempt may follow; called once, at GiveUpAfter_.
  std::function<bool()> MayGiveUp_;
  /// Returns whether the request may still be sent; called when a connection
  /// has been opened. Empty if it may.
  std::function<bool()> MaySend_;
  /// Time left, as sent to the upstream.
  base::Duration TimeLeft_{};
  /// Timeout for opening a connection.
  base::Duration ConnectTimeout_{};
  /// Longest idle time of a reused connection.
  base::Duration MaxIdle_{};
};

/// One attempt to have a request answered by an upstream, or by another VM.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
public:
  /// Request bodies up to this size are sent together with the head. Longer
  /// ones are sent while the response is awaited, because an upstream may
  /// respond before it has read them.
  static constexpr std::size_t MaxInlineBody = 16UL * 1024;

  UpstreamAttempt(const HeaderNames &Names, UpstreamConnectionPool &Connections,
                  asynckit::DeadlineList &Deadlines, AttemptOptions Options);
  ~UpstreamAttempt();

  /// Sends the request and reads the response's head and as much of its body as
  /// is buffered for one request.
  asynckit::awaitable<traffic::AttemptResult> run(const CallerRequest &Request,
                                                  BodySource MoreBody);

  /// Reads the next part of the body into \p Piece, which is empty at the end
  /// of the body. Returns false if the response was cut off.
  asynckit::awaitable<bool> readMore(std::string &Piece);

  /// Ends the attempt and closes the connection to the upstream.
  void abandon();

  /// Returns the connection to the pool if the response was read completely,
  /// else closes it.
  void release(base::TimePoint Now);

  const boost::beast::http::fields &fields() const { return Parser_->get(); }
  unsigned status() const { return Parser_->get().result_int(); }
  std::string_view reason() const;
  const std::string &body() const { return Body_; }
  bool isComplete() const { return Parser_ && Parser_->is_done() && !IsCut_; }
  /// Returns the memory that the response takes, with what waits unread in the
  /// socket.
  std::size_t heldBytes() const;
  bool wasSent() const { return WasSent_; }
  /// Returns whether the attempt opened a new connection.
  bool hasOpenedConnection() const { return HasOpenedConnection_; }
  /// Returns whether the head of a response has arrived.
  bool hasResponse() const { return Parser_ && Parser_->is_header_done(); }
  /// Returns why what the upstream sent is no whole response; empty if it is
  /// one, or if the connection ended without a reason.
  const std::string &problem() const { return Problem_; }
  /// Returns the Content-Length of the response; -1 if it has none.
  std::int64_t bodyLength() const;

private:
  asynckit::awaitable<bool> connect(const std::string &RequestId);
  void armTimer();
  void armFinalTimer();
  asynckit::awaitable<void> sendBody(std::shared_ptr<UpstreamAttempt> Self,
                                     BodySource MoreBody, bool IsChunked);
  asynckit::awaitable<bool> readHead(const CallerRequest &Request);
  asynckit::awaitable<bool> readInto(std::string &Piece);
  std::string encodeHead(const CallerRequest &Request, bool IsChunked) const;
  /// Returns the result that the head of the response tells.
  traffic::AttemptResult headResult() const;
  traffic::AttemptResult failureResult() const;
  /// Keeps why the parser refused what the upstream sent.
  void recordProblem(const asynckit::error_code &Error);

  const HeaderNames &Names_;
  UpstreamConnectionPool &Connections_;
  AttemptOptions Options_;
  asynckit::Deadline Timer_;
  UpstreamConnectionPtr Connection_;
  std::optional<httpwire::ResponseParser> Parser_;
  std::string Body_;
  std::string UnsentBody_;
  std::string Problem_;
  bool IsSending_ = false;
  bool HasSendFailed_ = false;
  /// Whether the connection ended while the request was still being sent, and
  /// only its end marked that of the response.
  bool IsCut_ = false;
  bool WasSent_ = false;
  bool HasOpenedConnection_ = false;
  bool IsAbandoned_ = false;
};

} // namespace ebony::vm

#endif
