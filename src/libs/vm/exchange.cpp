#include "vm/exchange.h"

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

// Body of an answer that is held back until it is whole, so that an answer
// that breaks off can still be replaced by another upstream's.
constexpr std::size_t MostHeldBody = 64UL * 1024;

// Piece in which bodies are read.
constexpr std::size_t PieceBytes = 8UL * 1024;

// Requests with a longer body are sent while the answer is awaited, because an
// upstream may answer before it has read them.
constexpr std::size_t InlineBody = 16UL * 1024;

// Largest head of an answer.
constexpr std::uint32_t MostHeadBytes = 32UL * 1024;

// Answers are streamed, so their length needs no bound.
constexpr std::uint64_t MostBodyBytes = UINT64_MAX;

// Stray answers that are read past before the connection is given up.
constexpr int MostStrayAnswers = 3;

// Time until data that nobody acknowledges breaks a connection.
constexpr unsigned UnacknowledgedMs = 2000;

// How long an upstream keeps idle connections when it does not say so.
constexpr base::Duration DefaultKeepAlive = std::chrono::seconds(5);

base::Duration keepAliveOf(const http::fields &Fields) {
  const std::string_view Value = valueOf(Fields, "Keep-Alive");
  const std::size_t Start = Value.find("timeout=");
  if (Start == std::string_view::npos)
    return DefaultKeepAlive;
  const std::string_view Rest = Value.substr(Start + 8);
  const auto Seconds =
      wholeNumber(Rest.substr(0, Rest.find_first_not_of("0123456789")));
  return Seconds ? std::chrono::seconds(*Seconds) : DefaultKeepAlive;
}

} // namespace

Exchange::Exchange(const HeaderNames &Names, UpstreamLinks &Links,
                   asynckit::DeadlineList &Deadlines, ExchangeTerms Terms)
    : Names_(Names), Links_(Links), Terms_(std::move(Terms)),
      Timer_(Deadlines) {}

Exchange::~Exchange() {
  if (Link_)
    Link_->close();
}

awaitable<AttemptResult> Exchange::run(const CallerRequest &Request,
                                       BodySource MoreBody) {
  const bool IsConnected = co_await connect();
  if (!IsConnected)
    co_return IsAbandoned_ ? AttemptResult::CallerLeft
                           : AttemptResult::Unreachable;
  armTimer();
  const bool IsChunked = Request.HasMoreBody_ && Request.BodyLength_ < 0;
  std::string Head = headOf(Request, IsChunked);
  const bool IsInline =
      !Request.HasMoreBody_ && Request.Body_.size() <= InlineBody;
  if (IsInline)
    Head += Request.Body_;
  else
    Unsent_ = Request.Body_;
  WasSent_ = true;
  error_code Error;
  co_await asio::async_write(Link_->socket(), asio::buffer(Head), into(Error));
  if (Error)
    co_return failure();
  if (!IsInline) {
    IsSending_ = true;
    asio::co_spawn(Link_->socket().get_executor(),
                   sendRest(shared_from_this(), std::move(MoreBody), IsChunked),
                   asio::detached);
  }
  const bool HasHead = co_await readHead(Request);
  if (!HasHead)
    co_return failure();
  while (!Parser_->is_done() && Body_.size() < MostHeldBody) {
    const bool IsRead = co_await readInto(Body_);
    if (!IsRead)
      co_return failure();
  }
  if (Parser_->is_done())
    Timer_.disarm();
  if (!valueOf(fields(), Names_.NotRun_).empty())
    co_return AttemptResult::Shed;
  constexpr unsigned Misdirected = 421;
  if (status() == Misdirected)
    co_return AttemptResult::Misdirected;
  constexpr unsigned FirstServerError = 500;
  co_return status() >= FirstServerError ? AttemptResult::Failed
                                         : AttemptResult::Answered;
}

void Exchange::armTimer() {
  if (!Terms_.MayGiveUp_) {
    armFinalTimer();
    return;
  }
  const std::weak_ptr<Exchange> Weak = weak_from_this();
  Timer_.arm(Terms_.SilentFrom_, [Weak] {
    const auto Own = Weak.lock();
    if (!Own)
      return;
    // An answer that has begun is read to its end.
    const bool HasBegun = Own->Parser_ && Own->Parser_->is_header_done();
    if (!HasBegun && Own->Terms_.MayGiveUp_())
      Own->Link_->close();
    else
      Own->armFinalTimer();
  });
}

void Exchange::armFinalTimer() {
  const std::weak_ptr<Exchange> Weak = weak_from_this();
  Timer_.arm(Terms_.Limit_, [Weak] {
    if (const auto Own = Weak.lock())
      Own->Link_->close();
  });
}

awaitable<bool> Exchange::connect() {
  const base::TimePoint Now = Terms_.Limit_ - Terms_.TimeLeft_;
  Link_ = Links_.take(Terms_.Upstream_, Terms_.MostIdle_, Now);
  if (Link_)
    co_return true;
  Link_ = Links_.make();
  const std::weak_ptr<Exchange> Weak = weak_from_this();
  Timer_.arm(std::min(Terms_.Limit_, Now + Terms_.ConnectTimeOut_), [Weak] {
    if (const auto Own = Weak.lock())
      Own->Link_->close();
  });
  error_code Error;
  co_await Link_->socket().async_connect(Terms_.Address_, into(Error));
  Timer_.disarm();
  if (Error || IsAbandoned_)
    co_return false;
  Link_->socket().set_option(asio::ip::tcp::no_delay(true), Error);
  const int Handle = Link_->socket().native_handle();
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedMs,
             sizeof(UnacknowledgedMs));
  co_return true;
}

std::string Exchange::headOf(const CallerRequest &Request,
                             bool IsChunked) const {
  std::string Head;
  Head.reserve(512);
  Head += Request.Method_ + " " + Request.Target_ + " HTTP/1.1\r\n";
  const std::string Connection(valueOf(*Request.Fields_, "Connection"));
  const std::array<std::string_view, 6> Own = {
      "Authorization",  "Content-Length", "Expect",
      Names_.Deadline_, Names_.Customer_, Names_.ExpectedUpstream_};
  const auto Add = [&Head](std::string_view Name, std::string_view Value) {
    Head += Name;
    Head += ": ";
    Head += Value;
    Head += "\r\n";
  };
  for (const auto &Field : *Request.Fields_) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const bool IsOwn =
        std::any_of(Own.begin(), Own.end(),
                    [&](std::string_view One) { return sameName(One, Name); });
    if (!IsOwn && !isHopField(Name, Connection))
      Add(Name, {Field.value().data(), Field.value().size()});
  }
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Terms_.TimeLeft_);
  Add(Names_.Deadline_, std::to_string(Left.count()));
  Add(Names_.ExpectedUpstream_, Terms_.Upstream_.text());
  if (!Request.Customer_.empty())
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

awaitable<void> Exchange::sendRest(std::shared_ptr<Exchange> Self,
                                   BodySource MoreBody, bool IsChunked) {
  // The link is kept apart: the attempt may be over before the body is sent.
  const UpstreamLinkPtr Link = Link_;
  std::string Piece = std::move(Unsent_);
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
      co_await asio::async_write(Link->socket(), asio::buffer(Piece),
                                 into(Error));
    if (Error) {
      Self->IsSendBroken_ = true;
      break;
    }
    if (IsLast || !MoreBody)
      break;
    std::optional<std::string> Next = co_await MoreBody();
    if (!Next) {
      // The caller broke off; the upstream must not take this for the end.
      Link->close();
      Self->IsSendBroken_ = true;
      break;
    }
    if (Next->empty() && !IsChunked)
      break;
    Piece = std::move(*Next);
  }
  Self->IsSending_ = false;
}

awaitable<bool> Exchange::readHead(const CallerRequest &Request) {
  for (int Stray = 0; Stray <= MostStrayAnswers;) {
    Parser_.emplace();
    Parser_->header_limit(MostHeadBytes);
    Parser_->body_limit(MostBodyBytes);
    if (Request.Method_ == "HEAD")
      Parser_->skip(true);
    error_code Error;
    co_await http::async_read_header(Link_->socket(), Link_->buffer(), *Parser_,
                                     into(Error));
    if (Error)
      co_return false;
    constexpr unsigned FirstFinal = 200;
    if (status() < FirstFinal)
      continue;
    if (valueOf(fields(), Names_.RequestId_) == Request.Id_)
      co_return true;
    // A late second answer to an earlier request; the right one follows it.
    std::string Ignored;
    while (!Parser_->is_done()) {
      const bool IsRead = co_await readInto(Ignored);
      if (!IsRead)
        co_return false;
      Ignored.clear();
    }
    ++Stray;
  }
  co_return false;
}

awaitable<bool> Exchange::readInto(std::string &Piece) {
  const std::size_t Before = Piece.size();
  Piece.resize(Before + PieceBytes);
  auto &Target = Parser_->get().body();
  Target.data = &Piece[Before];
  Target.size = PieceBytes;
  error_code Error;
  co_await http::async_read_some(Link_->socket(), Link_->buffer(), *Parser_,
                                 into(Error));
  Piece.resize(Before + PieceBytes - Target.size);
  if (Error == http::error::need_buffer)
    Error = {};
  co_return !Error;
}

awaitable<bool> Exchange::readMore(std::string &Piece) {
  Piece.clear();
  while (Piece.empty() && !Parser_->is_done()) {
    const bool IsRead = co_await readInto(Piece);
    if (!IsRead)
      co_return false;
  }
  co_return true;
}

AttemptResult Exchange::failure() const {
  if (IsAbandoned_)
    return AttemptResult::CallerLeft;
  return Timer_.hasExpired() ? AttemptResult::TimedOut
                             : AttemptResult::ConnectionLost;
}

void Exchange::abandon() {
  IsAbandoned_ = true;
  if (Link_)
    Link_->close();
}

void Exchange::release(base::TimePoint Now) {
  Timer_.disarm();
  if (!Link_)
    return;
  const bool IsClean = isWhole() && !IsSending_ && !IsSendBroken_ &&
                       !IsAbandoned_ && Link_->buffer().size() == 0 &&
                       Parser_->keep_alive() && !Parser_->need_eof();
  if (IsClean) {
    Link_->KeepAlive_ = keepAliveOf(fields());
    Links_.keep(Terms_.Upstream_, Link_, Now);
  } else {
    Link_->close();
  }
  Link_.reset();
}

std::string_view Exchange::reason() const {
  const auto Text = Parser_->get().reason();
  return {Text.data(), Text.size()};
}

std::int64_t Exchange::bodyLength() const {
  const auto Length = Parser_->content_length();
  return Length ? static_cast<std::int64_t>(*Length) : -1;
}

} // namespace ebony::vm
