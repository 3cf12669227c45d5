#include "vm/callersession.h"

#include "base/hashing.h"
#include "vm/headerfields.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <netinet/tcp.h>

#include <array>
#include <cmath>
#include <utility>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;
using telemetry::EventLine;
using telemetry::EventWeight;
using traffic::AttemptResult;
using traffic::Job;
using traffic::PlacementVerdict;
using traffic::RepeatRule;

// Body of a request that is kept so that it can be sent to another upstream;
// longer ones are passed on as they come and sent once.
constexpr std::size_t MostKeptBody = 512UL * 1024;
constexpr std::size_t PieceBytes = 8UL * 1024;

// Time for a caller that sends no deadline.
constexpr base::Duration DefaultDeadline = std::chrono::seconds(30);

// Advice to callers of a VM that does not know its configuration, or whose
// configuration is too old to trust keys.
constexpr base::Duration UnknownRetryAfter = std::chrono::milliseconds(500);

// Advice to callers of a VM that is about to end: another one takes them.
constexpr base::Duration StoppingRetryAfter = std::chrono::milliseconds(50);

// Upstreams that a request may fail to reach before it is given up; nothing
// was sent to them, so they count towards no budget.
constexpr int MostUnreachable = 3;

// Longest time to open a connection: a few round trips between regions.
constexpr base::Duration ConnectTimeOut = std::chrono::milliseconds(350);

// Longest idle time of a connection that a request which must not be repeated
// may use: the upstream could be closing it.
constexpr base::Duration IdleForOnce = std::chrono::milliseconds(1500);

// Time until data that a caller does not acknowledge breaks its connection.
constexpr unsigned UnacknowledgedMs = 5000;

// Part of the time left, and factor over the time foreseen, after which a
// first attempt counts as silent when another may follow.
constexpr double SilentPart = 0.5;
constexpr double SilentFactor = 3.0;

// Advice after a failed attempt, as a share of the route's objective.
constexpr double RetryAfterPart = 0.5;

base::Duration scaled(base::Duration Span, double Factor) {
  return base::fromSeconds(base::toSeconds(Span) * Factor);
}

const char *toText(AttemptResult Result) {
  static constexpr std::array<const char *, 8> Names = {
      "answered",    "upstream-failed", "upstream-shed", "misdirected",
      "unreachable", "answer-lost",     "silent",        "abandoned"};
  return Names.at(static_cast<std::size_t>(Result));
}

/// Host without its port.
std::string_view hostOf(std::string_view Value) {
  return Value.substr(0, Value.rfind(':'));
}

std::string secondsText(base::Duration Span) {
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%lld.%03lld",
                static_cast<long long>(Millis / 1000),
                static_cast<long long>(Millis % 1000));
  return Text.data();
}

traffic::JobId nextJobId() {
  static traffic::JobId Last = 0;
  return ++Last;
}

} // namespace

CallerSession::CallerSession(VmState &State, DispatchDesk &Desk,
                             TokenDesk &Tokens, asio::ip::tcp::socket Socket)
    : State_(State), Desk_(Desk), Tokens_(Tokens), Socket_(std::move(Socket)),
      Watch_(std::make_shared<CallerWatch>(Socket_)), Timer_(State.Deadlines_) {
  error_code Ignored; // The socket works without these, only less promptly.
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  setsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &UnacknowledgedMs, sizeof(UnacknowledgedMs));
}

CallerSession::~CallerSession() { Watch_->detach(); }

void CallerSession::close() {
  error_code Ignored; // The connection is given up either way.
  Socket_.close(Ignored);
}

awaitable<void> CallerSession::run(std::shared_ptr<CallerSession> Self) {
  co_await Self->serveAll();
}

awaitable<void> CallerSession::serveAll() {
  while (KeepsOpen_) {
    IsIdle_ = true;
    const bool HasHead = co_await readHead();
    if (!HasHead)
      break;
    co_await serve();
    Watch_->stop();
    Timer_.disarm();
    Attempt_.reset();
    if (State_.IsStopping_)
      break;
  }
  error_code Ignored; // The peer may have closed it before.
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  close();
}

awaitable<bool> CallerSession::readHead() {
  const traffic::CallerLimits Limits =
      State_.Rules_ ? State_.Rules_->limits() : traffic::CallerLimits();
  Parser_.emplace();
  Parser_->header_limit(Limits.HeaderBytes_);
  Parser_->body_limit(Limits.BodyBytes_);
  error_code Error;
  if (Buffer_.size() == 0) {
    Buffer_ = boost::beast::flat_buffer();
    Timer_.arm(State_.now() + Limits.IdleTimeout_, [this] { close(); });
    co_await Socket_.async_wait(asio::ip::tcp::socket::wait_read, into(Error));
    if (Error)
      co_return false;
  }
  Timer_.arm(State_.now() + Limits.HeaderTimeout_, [this] { close(); });
  co_await http::async_read_header(Socket_, Buffer_, *Parser_, into(Error));
  Timer_.disarm();
  IsIdle_ = false;
  Outcome_ = RequestOutcome();
  Outcome_.Started_ = State_.now();
  Request_ = CallerRequest();
  Attempts_ = 0;
  MayHaveRun_ = false;
  IsRepeatPaid_ = false;
  if (!Error)
    co_return true;
  if (Error == http::error::header_limit || Error == http::error::body_limit ||
      (Error.category() == make_error_code(http::error::bad_field).category() &&
       Error != http::error::end_of_stream &&
       Error != http::error::partial_message)) {
    KeepsOpen_ = false;
    const unsigned Status = Error == http::error::header_limit ? 431
                            : Error == http::error::body_limit ? 413
                                                               : 400;
    co_await refuse(Status, "bad-request", base::Duration::zero());
  }
  co_return false;
}

awaitable<bool> CallerSession::readPiece(std::string &Piece) {
  const std::size_t Before = Piece.size();
  Piece.resize(Before + PieceBytes);
  auto &Target = Parser_->get().body();
  Target.data = &Piece[Before];
  Target.size = PieceBytes;
  error_code Error;
  co_await http::async_read_some(Socket_, Buffer_, *Parser_, into(Error));
  Piece.resize(Before + PieceBytes - Target.size);
  if (Error == http::error::need_buffer)
    Error = {};
  co_return !Error;
}

awaitable<bool> CallerSession::readBody() {
  while (!Parser_->is_done() && Request_.Body_.size() < MostKeptBody) {
    const bool IsRead = co_await readPiece(Request_.Body_);
    if (!IsRead)
      co_return false;
  }
  Request_.HasMoreBody_ = !Parser_->is_done();
  co_return true;
}

awaitable<std::optional<std::string>> CallerSession::nextPiece() {
  std::string Piece;
  while (Piece.empty() && !Parser_->is_done()) {
    const bool IsRead = co_await readPiece(Piece);
    if (!IsRead)
      co_return std::nullopt;
  }
  co_return Piece;
}

awaitable<void> CallerSession::serve() {
  const HeaderNames &Names = State_.Platform_.Headers_;
  const Fields &Head = Parser_->get();
  Request_.Id_ = valueOf(Head, Names.RequestId_);
  Request_.Method_ = std::string(Parser_->get().method_string());
  Request_.Target_ = std::string(Parser_->get().target());
  Request_.Fields_ = &Head;
  const auto Length = Parser_->content_length();
  Request_.BodyLength_ = Length ? static_cast<std::int64_t>(*Length) : -1;
  KeepsOpen_ = Parser_->keep_alive();

  const auto DeadlineMs = wholeNumber(valueOf(Head, Names.Deadline_));
  const base::Duration Deadline =
      DeadlineMs ? base::Duration(std::chrono::milliseconds(*DeadlineMs))
                 : DefaultDeadline;
  // A caller that stops sending its body is not waited for any longer.
  Timer_.arm(Outcome_.Started_ + Deadline, [this] { close(); });
  if (!Parser_->is_done() &&
      sameName(valueOf(Head, "Expect"), "100-continue")) {
    const bool IsSent = co_await send("HTTP/1.1 100 Continue\r\n\r\n");
    if (!IsSent) {
      KeepsOpen_ = false;
      co_return;
    }
  }
  const bool HasBody = co_await readBody();
  Timer_.disarm();
  if (!HasBody) {
    KeepsOpen_ = false;
    co_return;
  }
  if (State_.RefusesNew_) {
    co_await refuse(503, "stopping", StoppingRetryAfter);
    co_return;
  }
  const traffic::TrafficRulesPtr Rules = State_.Rules_;
  if (!Rules || !State_.KnowsUpstreams_) {
    co_await refuse(503, "no-configuration", UnknownRetryAfter);
    co_return;
  }
  const std::string_view Path =
      std::string_view(Request_.Target_).substr(0, Request_.Target_.find('?'));
  const traffic::RouteTerms *Route =
      Rules->findRoute(hostOf(valueOf(Head, "Host")), Path);
  if (!Route) {
    co_await refuse(404, "no-route", base::Duration::zero());
    co_return;
  }
  Outcome_.Route_ = Route->Name_;
  const traffic::CustomerTerms *Customer = nullptr;
  if (Rules->hasCustomers() && !Route->IsOpen_) {
    if (!State_.KeyTrust_.holds(State_.now()) ||
        !State_.PlanTrust_.holds(State_.now())) {
      co_await refuse(503, "keys-not-current", UnknownRetryAfter);
      co_return;
    }
    std::string_view Key = valueOf(Head, "Authorization");
    if (Key.starts_with(Names.KeyScheme_))
      Customer = Rules->findCustomer(Key.substr(Names.KeyScheme_.size()));
    if (!Customer) {
      co_await refuse(401, "unknown-key", base::Duration::zero());
      co_return;
    }
    Request_.Customer_ = Customer->Name_.text();
    const auto Pause = co_await Tokens_.admit(Customer->Name_);
    if (Pause) {
      co_await refuse(429, "over-quota", *Pause);
      co_return;
    }
  }
  std::unique_ptr<Job> One = makeJob(*Rules, *Route, Customer);
  One->Limit_ = Outcome_.Started_ + std::min(Deadline, Route->Timeout_);
  JobId_ = One->Id_;
  Watch_->start([this] { noteGone(); });
  co_await forward(std::move(One), *Route);
}

std::unique_ptr<Job>
CallerSession::makeJob(const traffic::TrafficRules &Rules,
                       const traffic::RouteTerms &Route,
                       const traffic::CustomerTerms *Customer) {
  auto One = std::make_unique<Job>();
  One->Id_ = nextJobId();
  One->Service_ = State_.Splits_.choose(Rules.version(), Route);
  One->Route_ = Route.Name_;
  One->Repeats_ = Route.Repeats_;
  One->Priority_ = Route.Priority_;
  One->Homes_ = Route.Homes_;
  if (Customer) {
    One->Customer_ = Customer->Name_;
    if (Customer->Priority_ >= 0)
      One->Priority_ = Customer->Priority_;
    if (One->Homes_.empty()) {
      One->Homes_ = Customer->Homes_;
    } else if (!Customer->Homes_.empty()) {
      std::erase_if(One->Homes_, [&](const base::RegionName &Region) {
        return std::find(Customer->Homes_.begin(), Customer->Homes_.end(),
                         Region) == Customer->Homes_.end();
      });
      // No region is a home of both: none may serve the request.
      if (One->Homes_.empty())
        One->Homes_.emplace_back();
    }
  }
  One->Objective_ = Route.Objective_;
  One->Arrived_ = Outcome_.Started_;
  One->Due_ = One->Arrived_ + Route.Objective_;
  const std::string_view Object =
      cookieOf(*Request_.Fields_, State_.Platform_.Headers_.ObjectCookie_);
  One->ObjectHash_ = Object.empty()
                         ? base::mixBits(base::stableHash(Request_.Id_))
                         : base::stableHash(Object);
  Outcome_.Service_ = One->Service_.text();
  State_.Budget_.noteRequest(One->Service_, One->Arrived_);
  return One;
}

awaitable<void> CallerSession::forward(std::unique_ptr<Job> Job,
                                       const traffic::RouteTerms &Route) {
  int Unreachable = 0;
  for (;;) {
    const base::TimePoint Queued = State_.now();
    Turn Own = co_await Desk_.acquire(std::move(Job));
    Outcome_.Waited_ += State_.now() - Queued;
    if (!Own.Job_) {
      Outcome_.Outcome_ = "abandoned";
      Outcome_.Reason_ = "caller-left";
      logOutcome();
      KeepsOpen_ = false;
      co_return;
    }
    Job = std::move(Own.Job_);
    const traffic::Placement &Chosen = Own.Placement_;
    Outcome_.Foreseen_ = Chosen.Foreseen_;
    if (Chosen.Verdict_ == PlacementVerdict::Refuse) {
      const bool IsLate = Chosen.Reason_ == "no-time-left";
      const unsigned Status = !MayHaveRun_ ? 503U : IsLate ? 504U : 502U;
      co_await refuse(Status, Chosen.Reason_, Chosen.RetryAfter_);
      co_return;
    }
    Own.Job_ = std::move(Job);
    Outcome_.Upstream_ = Chosen.Upstream_->Entry_.Name_.text();
    Outcome_.Rank_ = Chosen.Rank_;
    const base::TimePoint Began = State_.now();
    Attempt_ =
        std::make_shared<Exchange>(State_.Platform_.Headers_, State_.Links_,
                                   State_.Deadlines_, termsFor(Own, Route));
    BodySource MoreBody;
    if (Request_.HasMoreBody_)
      MoreBody = [this] { return nextPiece(); };
    const auto Attempt = Attempt_;
    AttemptResult Result = co_await Attempt->run(Request_, MoreBody);
    constexpr unsigned FirstFailure = 300;
    if (Result == AttemptResult::Answered && Attempt->status() < FirstFailure &&
        valueOf(Attempt->fields(), State_.Platform_.Headers_.Stamp_).empty())
      Result = AttemptResult::Lost;
    Desk_.finish(Own, Result, State_.now() - Began);
    Job = std::move(Own.Job_);
    if (Result == AttemptResult::Abandoned || Watch_->isGone()) {
      Attempt->abandon();
      Outcome_.Outcome_ = "abandoned";
      Outcome_.Reason_ = "caller-left";
      logOutcome();
      KeepsOpen_ = false;
      co_return;
    }
    if (Result == AttemptResult::Answered) {
      co_await relay(*Attempt);
      co_return;
    }
    if (Result == AttemptResult::Unreachable)
      ++Unreachable;
    else
      ++Attempts_;
    MayHaveRun_ = MayHaveRun_ || Result == AttemptResult::Lost ||
                  Result == AttemptResult::Silent ||
                  Result == AttemptResult::Failed;
    const bool GoesOn = Result == AttemptResult::Unreachable
                            ? Unreachable < MostUnreachable
                            : mayRepeat(*Job, Route, Result);
    if (!GoesOn) {
      if (Result == AttemptResult::Failed) {
        co_await relay(*Attempt);
        co_return;
      }
      Attempt->release(State_.now());
      const unsigned Status = !MayHaveRun_                      ? 503U
                              : Result == AttemptResult::Silent ? 504U
                                                                : 502U;
      co_await refuse(Status, toText(Result),
                      scaled(Route.Objective_, RetryAfterPart));
      co_return;
    }
    State_.log(EventLine("attempt-failed")
                   .add("id", Request_.Id_)
                   .add("upstream", Outcome_.Upstream_)
                   .add("result", toText(Result))
                   .add("took_ms", (State_.now() - Began).count() / 1000));
    Attempt->release(State_.now());
  }
}

ExchangeTerms CallerSession::termsFor(const Turn &Chosen,
                                      const traffic::RouteTerms &Route) {
  const traffic::UpstreamEntry &Entry = Chosen.Placement_.Upstream_->Entry_;
  const Job &One = *Chosen.Job_;
  const base::TimePoint Now = State_.now();
  ExchangeTerms Terms;
  Terms.Upstream_ = Entry.Name_;
  Terms.Address_ = {asio::ip::make_address(Entry.Address_), Entry.Port_};
  Terms.Limit_ = One.Limit_;
  Terms.TimeLeft_ = Terms.Limit_ - Now;
  if (One.Repeats_ == RepeatRule::Idempotent && Attempts_ == 0) {
    Terms.SilentFrom_ =
        Now + std::max(scaled(Terms.TimeLeft_, SilentPart),
                       scaled(Chosen.Placement_.Foreseen_, SilentFactor));
    Terms.MayGiveUp_ = [this, &One, &Route] { return mayGiveUp(One, Route); };
  }
  Terms.ConnectTimeOut_ = ConnectTimeOut;
  Terms.MostIdle_ = One.Repeats_ == RepeatRule::Idempotent
                        ? base::Duration::max()
                        : IdleForOnce;
  return Terms;
}

// A silent upstream is left only for a repeat that is sure to follow: the
// budget has room, another upstream can answer in time, and this VM stays.
bool CallerSession::mayGiveUp(const Job &Job,
                              const traffic::RouteTerms &Route) {
  if (State_.IsStopping_ || Request_.HasMoreBody_ ||
      Attempts_ + 1 >= Route.MaxAttempts_ ||
      !State_.Dispatcher_.canRepeat(Job, State_.now()))
    return false;
  IsRepeatPaid_ = State_.Budget_.take(Job.Service_, State_.now());
  return IsRepeatPaid_;
}

bool CallerSession::mayRepeat(const Job &Job, const traffic::RouteTerms &Route,
                              AttemptResult Result) {
  const bool DidNotRun =
      Result == AttemptResult::Shed || Result == AttemptResult::Misdirected;
  if (!DidNotRun && Job.Repeats_ != RepeatRule::Idempotent)
    return false;
  if (Attempts_ >= Route.MaxAttempts_ || Request_.HasMoreBody_ ||
      State_.now() >= Job.Limit_)
    return false;
  if (!std::exchange(IsRepeatPaid_, false) &&
      !State_.Budget_.take(Job.Service_, State_.now()))
    return false;
  State_.Metrics_.Repeats_.add();
  return true;
}

void CallerSession::noteGone() {
  Desk_.cancel(JobId_);
  if (Attempt_)
    Attempt_->abandon();
}

awaitable<void> CallerSession::refuse(unsigned Status, std::string Reason,
                                      base::Duration RetryAfter) {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned TooMany = 429;
  Outcome_.Status_ = Status;
  Outcome_.Reason_ = Reason;
  Outcome_.Outcome_ = Status == Unavailable || Status == TooMany || Status < 500
                          ? "refused"
                          : "failed";
  // A body that was not read would be taken for the next request.
  if (Request_.HasMoreBody_ || State_.IsStopping_)
    KeepsOpen_ = false;
  std::string Bytes =
      "HTTP/1.1 " + std::to_string(Status) + " " +
      std::string(http::obsolete_reason(static_cast<http::status>(Status))) +
      "\r\n";
  if (!Request_.Id_.empty())
    Bytes +=
        State_.Platform_.Headers_.RequestId_ + ": " + Request_.Id_ + "\r\n";
  if ((Status == Unavailable || Status == TooMany) &&
      RetryAfter > base::Duration::zero())
    Bytes += "Retry-After: " + secondsText(RetryAfter) + "\r\n";
  if (!KeepsOpen_)
    Bytes += "Connection: close\r\n";
  Bytes += "Content-Length: " + std::to_string(Reason.size()) + "\r\n\r\n";
  if (Request_.Method_ != "HEAD")
    Bytes += Reason;
  logOutcome();
  const bool IsSent = co_await send(Bytes);
  if (!IsSent)
    KeepsOpen_ = false;
}

awaitable<void> CallerSession::relay(Exchange &Answer) {
  Outcome_.Status_ = Answer.status();
  Outcome_.Outcome_ = Answer.status() < 500 ? "served" : "failed";
  Outcome_.Reason_ = "upstream-answer";
  if (State_.IsStopping_ || Request_.HasMoreBody_)
    KeepsOpen_ = false;
  std::string Bytes = "HTTP/1.1 " + std::to_string(Answer.status()) + " " +
                      std::string(Answer.reason()) + "\r\n";
  const std::string Connection(valueOf(Answer.fields(), "Connection"));
  for (const auto &Field : Answer.fields()) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    if (sameName(Name, "Content-Length") || isHopField(Name, Connection))
      continue;
    Bytes += Name;
    Bytes += ": ";
    Bytes += std::string_view(Field.value().data(), Field.value().size());
    Bytes += "\r\n";
  }
  const bool IsHead = Request_.Method_ == "HEAD";
  const bool IsWhole = Answer.isWhole();
  const std::int64_t Length =
      IsWhole && !IsHead ? static_cast<std::int64_t>(Answer.body().size())
                         : Answer.bodyLength();
  const bool IsChunked = Length < 0 && !IsHead;
  if (IsChunked)
    Bytes += "Transfer-Encoding: chunked\r\n";
  else if (Length >= 0)
    Bytes += "Content-Length: " + std::to_string(Length) + "\r\n";
  if (!KeepsOpen_)
    Bytes += "Connection: close\r\n";
  Bytes += "\r\n";
  std::string Piece = Answer.body();
  bool IsSent = true;
  for (;;) {
    if (IsChunked && !Piece.empty()) {
      std::array<char, 20> Size{};
      const int Digits =
          std::snprintf(Size.data(), Size.size(), "%zx\r\n", Piece.size());
      Bytes.append(Size.data(), static_cast<std::size_t>(Digits));
    }
    Bytes += Piece;
    if (IsChunked && !Piece.empty())
      Bytes += "\r\n";
    if (IsChunked && Answer.isWhole())
      Bytes += "0\r\n\r\n";
    IsSent = co_await send(Bytes);
    if (!IsSent || Answer.isWhole())
      break;
    Bytes.clear();
    const bool IsRead = co_await Answer.readMore(Piece);
    if (!IsRead) {
      // The caller sees the answer cut: neither its length nor its last chunk
      // comes.
      Outcome_.Outcome_ = "failed";
      Outcome_.Reason_ = "answer-broke-off";
      IsSent = false;
      break;
    }
  }
  if (!IsSent)
    KeepsOpen_ = false;
  Answer.release(State_.now());
  logOutcome();
}

awaitable<bool> CallerSession::send(const std::string &Bytes) {
  error_code Error;
  co_await asio::async_write(Socket_, asio::buffer(Bytes), into(Error));
  co_return !Error;
}

void CallerSession::logOutcome() {
  const base::TimePoint Now = State_.now();
  const base::Duration Took = Now - Outcome_.Started_;
  const bool IsRoutine = Outcome_.Outcome_ == "served" && Attempts_ == 0;
  State_.Metrics_.countRequest(Outcome_.Outcome_, Outcome_.Reason_);
  State_.Metrics_.Latency_.record(Took);
  EventLine Line("request");
  Line.add("id", Request_.Id_)
      .add("outcome", Outcome_.Outcome_)
      .add("reason", Outcome_.Reason_)
      .add("status", Outcome_.Status_)
      .add("customer", Request_.Customer_)
      .add("route", Outcome_.Route_)
      .add("service", Outcome_.Service_)
      .add("upstream", Outcome_.Upstream_)
      .add("rank", static_cast<std::int64_t>(Outcome_.Rank_))
      .add("attempts", Attempts_)
      .add("foreseen_ms", Outcome_.Foreseen_.count() / 1000)
      .add("waited_ms", Outcome_.Waited_.count() / 1000)
      .add("took_ms", Took.count() / 1000)
      .add("configuration", State_.Rules_ ? State_.Rules_->version() : 0)
      .add("configuration_age_ms", State_.KeyTrust_.age(Now).count() / 1000)
      .add("quota_plan", State_.Quota_.plan().Version_);
  State_.log(Line, IsRoutine ? EventWeight::Routine : EventWeight::Notable);
}

} // namespace ebony::vm
