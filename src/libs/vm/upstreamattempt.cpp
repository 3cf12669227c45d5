#include "vm/upstreamattempt.h"

#include "vm/headerfields.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <netinet/tcp.h>

#include <array>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;
using traffic::AttemptResult;

// Response bodies up to this size are read completely before they are relayed,
// so that a response that is cut off can be replaced by another upstream's.
constexpr std::size_t MaxBufferedBody = 64UL * 1024;

// Size of the parts in which bodies are read.
constexpr std::size_t PieceBytes = 8UL * 1024;

// Bytes of a response that may wait unread in the socket.
constexpr std::size_t UnreadResponseBytes = 128UL * 1024;

// Number of responses to earlier requests that are skipped before the attempt
// fails.
constexpr int MaxStaleResponses = 3;

// Bytes of their bodies that are skipped before the attempt fails: an upstream
// in trouble may send without end.
constexpr std::size_t MaxStaleBytes = 256UL * 1024;

// Time after which a connection with unacknowledged data is closed.
constexpr unsigned TcpUserTimeoutMs = 2000;

// Keep-alive timeout of an upstream that does not state one.
constexpr base::Duration DefaultKeepAlive = std::chrono::seconds(5);

base::Duration keepAliveTimeout(const http::fields &Fields) {
  const std::string_view Value = valueOf(Fields, "Keep-Alive");
  const std::size_t Start = Value.find("timeout=");
  if (Start == std::string_view::npos)
    return DefaultKeepAlive;
  const std::string_view Parameter = Value.substr(Start + 8);
  const auto Seconds = parseNonNegative(
      Parameter.substr(0, Parameter.find_first_not_of("0123456789")));
  return Seconds ? std::chrono::seconds(*Seconds) : DefaultKeepAlive;
}

} // namespace

UpstreamAttempt::UpstreamAttempt(const HeaderNames &Names,
                                 UpstreamConnectionPool &Connections,
                                 asynckit::DeadlineList &Deadlines,
                                 AttemptOptions Options)
    : Names_(Names), Connections_(Connections), Options_(std::move(Options)),
      Timer_(Deadlines) {}

UpstreamAttempt::~UpstreamAttempt() {
  if (Connection_)
    Connection_->close();
}

awaitable<AttemptResult> UpstreamAttempt::run(const CallerRequest &Request,
                                              BodySource MoreBody) {
  const bool IsConnected = co_await connect(Request.Id_);
  if (!IsConnected)
    co_return IsAbandoned_ ? AttemptResult::CallerLeft
                           : AttemptResult::Unreachable;
  // What is known of the upstream may have changed while it was connected to.
  if (HasOpenedConnection_ && Options_.MaySend_ && !Options_.MaySend_())
    co_return AttemptResult::Withheld;
  armTimer();
  const bool IsChunked = Request.HasMoreBody_ && Request.BodyLength_ < 0;
  std::string Head = encodeHead(Request, IsChunked);
  const bool IsInline =
      !Request.HasMoreBody_ && Request.Body_.size() <= MaxInlineBody;
  if (IsInline)
    Head += Request.Body_;
  else
    UnsentBody_ = Request.Body_;
  WasSent_ = true;
  Connection_->recordRequest(Request.Id_);
  error_code Error;
  co_await asio::async_write(Connection_->socket(), asio::buffer(Head),
                             into(Error));
  if (Error)
    co_return failureResult();
  if (!IsInline) {
    IsSending_ = true;
    asio::co_spawn(Connection_->socket().get_executor(),
                   sendBody(shared_from_this(), std::move(MoreBody), IsChunked),
                   asio::detached);
  }
  const bool HasHead = co_await readHead(Request);
  if (!HasHead)
    co_return failureResult();
  while (!Parser_->is_done() && Body_.size() < MaxBufferedBody) {
    const bool IsRead = co_await readInto(Body_);
    if (!IsRead)
      co_return traffic::wasRejected(headResult()) && !IsAbandoned_
          ? headResult()
          : failureResult();
  }
  if (Parser_->is_done())
    Timer_.disarm();
  co_return headResult();
}

AttemptResult UpstreamAttempt::headResult() const {
  constexpr unsigned Misdirected = 421;
  constexpr unsigned FirstServerError = 500;
  if (status() == Misdirected)
    return AttemptResult::Misdirected;
  if (!valueOf(fields(), Names_.NotRun_).empty())
    return AttemptResult::Shed;
  return status() >= FirstServerError ? AttemptResult::Failed
                                      : AttemptResult::Answered;
}

std::size_t UpstreamAttempt::heldBytes() const {
  return Body_.capacity() + (isComplete() ? 0 : UnreadResponseBytes);
}

void UpstreamAttempt::armTimer() {
  if (!Options_.MayGiveUp_) {
    armFinalTimer();
    return;
  }
  const std::weak_ptr<UpstreamAttempt> Weak = weak_from_this();
  Timer_.arm(Options_.GiveUpAfter_, [Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    // Once the head of the response has arrived, it is read to its end.
    const bool HasBegun = Self->Parser_ && Self->Parser_->is_header_done();
    if (!HasBegun && Self->Options_.MayGiveUp_())
      Self->Connection_->close();
    else
      Self->armFinalTimer();
  });
}

void UpstreamAttempt::armFinalTimer() {
  const std::weak_ptr<UpstreamAttempt> Weak = weak_from_this();
  Timer_.arm(Options_.Deadline_, [Weak] {
    if (const auto Self = Weak.lock())
      Self->Connection_->close();
  });
}

awaitable<bool> UpstreamAttempt::connect(const std::string &RequestId) {
  // The time at which the options were created, just before the attempt.
  const base::TimePoint Now = Options_.Deadline_ - Options_.TimeLeft_;
  Connection_ = Connections_.acquire(Options_.Upstream_, RequestId,
                                     Options_.MaxIdle_, Now);
  if (Connection_)
    co_return true;
  Connection_ = Connections_.create();
  const std::weak_ptr<UpstreamAttempt> Weak = weak_from_this();
  Timer_.arm(std::min(Options_.Deadline_, Now + Options_.ConnectTimeout_),
             [Weak] {
               if (const auto Self = Weak.lock())
                 Self->Connection_->close();
             });
  error_code Error;
  if (Options_.LocalAddress_) {
    Connection_->socket().open(Options_.Address_.protocol(), Error);
    Connection_->socket().bind({*Options_.LocalAddress_, 0}, Error);
  }
  co_await Connection_->socket().async_connect(Options_.Address_, into(Error));
  Timer_.disarm();
  if (Error || IsAbandoned_)
    co_return false;
  HasOpenedConnection_ = true;
  Connection_->socket().set_option(asio::ip::tcp::no_delay(true), Error);
  const int Handle = Connection_->socket().native_handle();
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs,
             sizeof(TcpUserTimeoutMs));
  co_return true;
}

std::string UpstreamAttempt::encodeHead(const CallerRequest &Request,
                                        bool IsChunked) const {
  std::string Head;
  Head.reserve(512);
  Head += Request.Method_ + " " + Request.Target_ + " HTTP/1.1\r\n";
  const std::string Connection(valueOf(Request.Fields_, "Connection"));
  const bool IsToPeer = Options_.Target_ == AttemptTarget::Peer;
  const std::array<std::string_view, 6> ReplacedFields = {
      "Content-Length",         "Expect",
      Names_.Deadline_,         Names_.Customer_,
      Names_.ExpectedUpstream_, IsToPeer ? "" : "Authorization"};
  const auto Add = [&Head](std::string_view Name, std::string_view Value) {
    Head += Name;
    Head += ": ";
    Head += Value;
    Head += "\r\n";
  };
  for (const auto &Field : Request.Fields_) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const bool IsReplaced =
        std::any_of(ReplacedFields.begin(), ReplacedFields.end(),
                    [&](std::string_view Replaced) {
                      return equalsIgnoringCase(Replaced, Name);
                    });
    if (!IsReplaced && !isHopByHopField(Name, Connection))
      Add(Name, {Field.value().data(), Field.value().size()});
  }
  const auto Remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(Options_.TimeLeft_);
  Add(Names_.Deadline_, std::to_string(Remaining.count()));
  if (!IsToPeer)
    Add(Names_.ExpectedUpstream_, Options_.Upstream_.text());
  if (!IsToPeer && !Request.Customer_.empty())
    Add(Names_.Customer_, Request.Customer_);
  if (IsChunked)
    Add("Transfer-Encoding", "chunked");
  else if (Request.HasMoreBody_)
    Add("Content-Length", std::to_string(Request.BodyLength_));
  else if (!Request.Body_.empty() || Request.BodyLength_ >= 0)
    Add("Content-Length", std::to_string(Request.Body_.size()));
  Head += "\r\n";
  return Head;
}

awaitable<void> UpstreamAttempt::sendBody(std::shared_ptr<UpstreamAttempt> Self,
                                          BodySource MoreBody, bool IsChunked) {
  // Keeps the connection alive: the attempt may end before the body is sent.
  const UpstreamConnectionPtr Connection = Connection_;
  std::string Piece = std::move(UnsentBody_);
  error_code Error;
  for (;;) {
    const bool IsLast = Piece.empty();
    if (IsChunked) {
      std::array<char, 20> Size{};
      const int Length =
          std::snprintf(Size.data(), Size.size(), "%zx\r\n", Piece.size());
      Piece.insert(0, Size.data(), static_cast<std::size_t>(Length));
      Piece += "\r\n";
    }
    if (!Piece.empty())
      co_await asio::async_write(Connection->socket(), asio::buffer(Piece),
                                 into(Error));
    if (Error) {
      Self->HasSendFailed_ = true;
      break;
    }
    if (IsLast || !MoreBody)
      break;
    std::optional<std::string> Next = co_await MoreBody();
    if (!Next) {
      // The caller disconnected; closing the connection prevents the upstream
      // from accepting the partial body as complete.
      Connection->close();
      Self->HasSendFailed_ = true;
      break;
    }
    if (Next->empty() && !IsChunked)
      break;
    Piece = std::move(*Next);
  }
  Self->IsSending_ = false;
}

awaitable<bool> UpstreamAttempt::readHead(const CallerRequest &Request) {
  std::size_t StaleBytes = 0;
  int InterimCount = 0;
  for (int StaleCount = 0; StaleCount <= MaxStaleResponses;) {
    Parser_.emplace(Request.Method_);
    error_code Error;
    co_await http::async_read_header(
        Connection_->socket(), Connection_->buffer(), *Parser_, into(Error));
    recordProblem(Error);
    if (Error)
      co_return false;
    const httpwire::ResponseKind Kind = Parser_->kind();
    if (Kind == httpwire::ResponseKind::Invalid) {
      Problem_ = "invalid-head-of-status-" + std::to_string(status());
      // Nothing that it says is believed.
      Parser_.reset();
      co_return false;
    }
    if (Kind == httpwire::ResponseKind::Interim) {
      if (++InterimCount > httpwire::MaxInterimResponses)
        co_return false;
      continue;
    }
    if (valueOf(fields(), Names_.RequestId_) == Request.Id_)
      co_return true;
    // A late duplicate response to an earlier request; the expected one follows
    // it.
    std::string Ignored;
    while (!Parser_->is_done()) {
      const bool IsRead = co_await readInto(Ignored);
      StaleBytes += Ignored.size();
      if (!IsRead || StaleBytes > MaxStaleBytes)
        co_return false;
      Ignored.clear();
    }
    ++StaleCount;
  }
  co_return false;
}

awaitable<bool> UpstreamAttempt::readInto(std::string &Piece) {
  const std::size_t Before = Piece.size();
  Piece.resize(Before + PieceBytes);
  auto &Target = Parser_->get().body();
  Target.data = &Piece[Before];
  Target.size = PieceBytes;
  error_code Error;
  co_await http::async_read_some(Connection_->socket(), Connection_->buffer(),
                                 *Parser_, into(Error));
  Piece.resize(Before + PieceBytes - Target.size);
  if (Error == http::error::need_buffer)
    Error = {};
  // The kernel reports a reset once, so after a failed write it looks like the
  // orderly end of the connection, which ends a body without a length.
  IsCut_ = Parser_->is_done() && Parser_->need_eof() &&
           (IsSending_ || HasSendFailed_);
  if (IsCut_)
    Problem_ = "ended-during-request";
  recordProblem(Error);
  co_return !Error && !IsCut_;
}

awaitable<bool> UpstreamAttempt::readMore(std::string &Piece) {
  Piece.clear();
  while (Piece.empty() && !Parser_->is_done()) {
    const bool IsRead = co_await readInto(Piece);
    if (!IsRead)
      co_return false;
  }
  co_return true;
}

void UpstreamAttempt::recordProblem(const error_code &Error) {
  const bool IsEnd = Error == http::error::end_of_stream ||
                     Error == http::error::partial_message;
  if (Error.category() == error_code(http::error::end_of_stream).category() &&
      !IsEnd)
    Problem_ = Error.message();
}

AttemptResult UpstreamAttempt::failureResult() const {
  if (IsAbandoned_)
    return AttemptResult::CallerLeft;
  return Timer_.hasExpired() ? AttemptResult::TimedOut
                             : AttemptResult::ConnectionLost;
}

void UpstreamAttempt::abandon() {
  IsAbandoned_ = true;
  if (Connection_)
    Connection_->close();
}

void UpstreamAttempt::release(base::TimePoint Now) {
  Timer_.disarm();
  if (!Connection_)
    return;
  const bool IsClean = isComplete() && !IsSending_ && !HasSendFailed_ &&
                       !IsAbandoned_ && Connection_->buffer().size() == 0 &&
                       Parser_->keep_alive() && !Parser_->need_eof();
  if (IsClean) {
    Connection_->KeepAlive_ = keepAliveTimeout(fields());
    Connections_.release(Options_.Upstream_, Connection_, Now);
  } else {
    Connection_->close();
  }
  Connection_.reset();
}

std::string_view UpstreamAttempt::reason() const {
  const auto Text = Parser_->get().reason();
  return {Text.data(), Text.size()};
}

std::int64_t UpstreamAttempt::bodyLength() const {
  const auto Length = Parser_->content_length();
  return Length ? static_cast<std::int64_t>(*Length) : -1;
}

} // namespace ebony::vm
