#include "vm/callersession.h"

#include "vm/headerfields.h"
#include "vm/jobmaker.h"

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
using traffic::PlacementAction;
using traffic::RetryPolicy;

// Body of a request that is kept so that it can be sent to another upstream;
// longer ones are passed on as they come and sent once.
constexpr std::size_t MostKeptBody = 512UL * 1024;
// Time for a caller that sends no deadline.
constexpr base::Duration DefaultDeadline = std::chrono::seconds(30);

// Advice to callers of a VM that does not know its configuration, or whose
// configuration is too old to trust keys.
constexpr base::Duration UnknownRetryAfter = std::chrono::milliseconds(500);

// Advice to callers of a VM that is about to end: another one takes them.
constexpr base::Duration StoppingRetryAfter = std::chrono::milliseconds(50);

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

unsigned statusFor(RequestReader::Head Result) {
  constexpr unsigned HeaderTooLarge = 431;
  constexpr unsigned BodyTooLarge = 413;
  constexpr unsigned BadRequest = 400;
  if (Result == RequestReader::Head::HeaderTooLarge)
    return HeaderTooLarge;
  return Result == RequestReader::Head::BodyTooLarge ? BodyTooLarge
                                                     : BadRequest;
}

} // namespace

CallerSession::CallerSession(VmState &State, DispatchDesk &Desk,
                             TokenDesk &Tokens, asio::ip::tcp::socket Socket)
    : State_(State), Desk_(Desk), Tokens_(Tokens), Socket_(std::move(Socket)),
      Reader_(Socket_), Writer_(Socket_, State.Platform_.Headers_),
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
  Reader_.begin(Limits);
  Timer_.arm(State_.now() + Limits.IdleTimeout_, [this] { close(); });
  const bool HasByte = co_await Reader_.awaitFirstByte();
  if (!HasByte)
    co_return false;
  Timer_.arm(State_.now() + Limits.HeaderTimeout_, [this] { close(); });
  const RequestReader::Head Result = co_await Reader_.readHead();
  Timer_.disarm();
  IsIdle_ = false;
  Outcome_ = RequestOutcome();
  Outcome_.Started_ = State_.now();
  Request_ = CallerRequest();
  Tally_.emplace(State_.Budget_, State_.Dispatcher_);
  if (Result == RequestReader::Head::Read)
    co_return true;
  if (Result == RequestReader::Head::Ended)
    co_return false;
  KeepsOpen_ = false;
  co_await refuse(statusFor(Result), "bad-request", base::Duration::zero());
  co_return false;
}

awaitable<bool> CallerSession::readBody() {
  while (!Reader_.isWhole() && Request_.Body_.size() < MostKeptBody) {
    const bool IsRead = co_await Reader_.readPiece(Request_.Body_);
    if (!IsRead)
      co_return false;
  }
  Request_.HasMoreBody_ = !Reader_.isWhole();
  co_return true;
}

awaitable<void> CallerSession::serve() {
  const HeaderNames &Names = State_.Platform_.Headers_;
  RequestReader::Parser &Parser = Reader_.parser();
  const boost::beast::http::fields &Head = Parser.get();
  Request_.Id_ = valueOf(Head, Names.RequestId_);
  Request_.Method_ = std::string(Parser.get().method_string());
  Request_.Target_ = std::string(Parser.get().target());
  Request_.Fields_ = &Head;
  const auto Length = Parser.content_length();
  Request_.BodyLength_ = Length ? static_cast<std::int64_t>(*Length) : -1;
  KeepsOpen_ = Parser.keep_alive();

  const auto DeadlineMs = wholeNumber(valueOf(Head, Names.Deadline_));
  const base::Duration Deadline =
      DeadlineMs ? base::Duration(std::chrono::milliseconds(*DeadlineMs))
                 : DefaultDeadline;
  // A caller that stops sending its body is not waited for any longer.
  Timer_.arm(Outcome_.Started_ + Deadline, [this] { close(); });
  if (!Reader_.isWhole() && sameName(valueOf(Head, "Expect"), "100-continue")) {
    const bool IsSent = co_await Writer_.invite();
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
  const traffic::RouteSettings *Route =
      Rules->findRoute(hostOf(valueOf(Head, "Host")), Path);
  if (!Route) {
    co_await refuse(404, "no-route", base::Duration::zero());
    co_return;
  }
  Outcome_.Route_ = Route->Name_;
  const traffic::CustomerSettings *Customer = nullptr;
  if (Rules->hasCustomers() && !Route->IsPublic_) {
    if (!State_.KeyTrust_.isFresh(State_.now()) ||
        !State_.PlanTrust_.isFresh(State_.now())) {
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
  }
  std::unique_ptr<Job> One = JobMaker(State_).make(Request_, *Rules, *Route,
                                                   Customer, Outcome_.Started_);
  Outcome_.Service_ = One->Service_.text();
  One->Deadline_ = Outcome_.Started_ + std::min(Deadline, Route->Timeout_);
  // What cannot be placed is refused before it uses up quota.
  const auto Refusal = State_.Dispatcher_.predictRefusal(*One, State_.now());
  if (Refusal) {
    co_await refuse(Tally_->failureStatus(false), Refusal->Reason_,
                    Refusal->RetryAfter_);
    co_return;
  }
  if (Customer) {
    const auto Pause = co_await Tokens_.admit(Customer->Name_);
    if (Pause) {
      co_await refuse(429, "over-quota", *Pause);
      co_return;
    }
  }
  JobId_ = One->Id_;
  Watch_->start([this] { noteGone(); });
  co_await forward(std::move(One), *Route);
}

awaitable<void> CallerSession::forward(std::unique_ptr<Job> Job,
                                       const traffic::RouteSettings &Route) {
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
    Outcome_.Foreseen_ = Chosen.PredictedLatency_;
    if (Chosen.Action_ == PlacementAction::Refuse) {
      co_await refuse(Tally_->failureStatus(Chosen.Reason_ == "no-time-left"),
                      Chosen.Reason_, Chosen.RetryAfter_);
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
      MoreBody = [this] { return Reader_.nextPiece(); };
    const auto Attempt = Attempt_;
    AttemptResult Result = co_await Attempt->run(Request_, MoreBody);
    constexpr unsigned FirstFailure = 300;
    if (Result == AttemptResult::Answered && Attempt->status() < FirstFailure &&
        valueOf(Attempt->fields(), State_.Platform_.Headers_.Stamp_).empty())
      Result = AttemptResult::ConnectionLost;
    Desk_.finish(Own, Result, State_.now() - Began);
    Job = std::move(Own.Job_);
    if (Result == AttemptResult::CallerLeft || Watch_->isGone()) {
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
    Tally_->recordResult(Result);
    const bool GoesOn = Tally_->mayRetry(*Job, Route, Result,
                                         Request_.HasMoreBody_, State_.now());
    if (!GoesOn) {
      if (Result == AttemptResult::Failed) {
        co_await relay(*Attempt);
        co_return;
      }
      Attempt->release(State_.now());
      co_await refuse(Tally_->failureStatus(Result == AttemptResult::TimedOut),
                      toText(Result),
                      scaled(Route.LatencyObjective_, RetryAfterPart));
      co_return;
    }
    if (Result != AttemptResult::Unreachable)
      State_.Metrics_.Repeats_.add();
    State_.log(EventLine("attempt-failed")
                   .add("id", Request_.Id_)
                   .add("upstream", Outcome_.Upstream_)
                   .add("result", toText(Result))
                   .add("took_ms", (State_.now() - Began).count() / 1000));
    Attempt->release(State_.now());
  }
}

ExchangeTerms CallerSession::termsFor(const Turn &Chosen,
                                      const traffic::RouteSettings &Route) {
  const traffic::UpstreamEntry &Entry = Chosen.Placement_.Upstream_->Entry_;
  const Job &One = *Chosen.Job_;
  const base::TimePoint Now = State_.now();
  ExchangeTerms Terms;
  Terms.Upstream_ = Entry.Name_;
  Terms.Address_ = {asio::ip::make_address(Entry.Address_), Entry.Port_};
  Terms.Limit_ = One.Deadline_;
  Terms.TimeLeft_ = Terms.Limit_ - Now;
  if (One.RetryPolicy_ == RetryPolicy::Idempotent && Tally_->attempts() == 0) {
    Terms.SilentFrom_ =
        Now +
        std::max(scaled(Terms.TimeLeft_, SilentPart),
                 scaled(Chosen.Placement_.PredictedLatency_, SilentFactor));
    Terms.MayGiveUp_ = [this, &One, &Route] {
      return !State_.IsStopping_ &&
             Tally_->reserveRetry(One, Route, Request_.HasMoreBody_,
                                  State_.now());
    };
  }
  Terms.ConnectTimeOut_ = ConnectTimeOut;
  Terms.MostIdle_ = One.RetryPolicy_ == RetryPolicy::Idempotent
                        ? base::Duration::max()
                        : IdleForOnce;
  return Terms;
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
  logOutcome();
  // Named, since GCC 12 destroys a braced temporary of a co_await twice.
  const OwnAnswer Answer{Status, Outcome_.Reason_, RetryAfter};
  const bool IsSent = co_await Writer_.refuse(Request_, Answer, KeepsOpen_);
  if (!IsSent)
    KeepsOpen_ = false;
}

awaitable<void> CallerSession::relay(Exchange &Answer) {
  Outcome_.Status_ = Answer.status();
  Outcome_.Outcome_ = Answer.status() < 500 ? "served" : "failed";
  Outcome_.Reason_ = "upstream-answer";
  if (State_.IsStopping_ || Request_.HasMoreBody_)
    KeepsOpen_ = false;
  const AnswerWriter::Relayed Result =
      co_await Writer_.relay(Request_, Answer, KeepsOpen_);
  if (Result == AnswerWriter::Relayed::BrokeOff) {
    Outcome_.Outcome_ = "failed";
    Outcome_.Reason_ = "answer-broke-off";
  }
  if (Result != AnswerWriter::Relayed::Whole)
    KeepsOpen_ = false;
  Answer.release(State_.now());
  logOutcome();
}

void CallerSession::logOutcome() {
  const base::TimePoint Now = State_.now();
  const base::Duration Took = Now - Outcome_.Started_;
  const bool IsRoutine =
      Outcome_.Outcome_ == "served" && Tally_->attempts() == 0;
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
      .add("attempts", Tally_->attempts())
      .add("foreseen_ms", Outcome_.Foreseen_.count() / 1000)
      .add("waited_ms", Outcome_.Waited_.count() / 1000)
      .add("took_ms", Took.count() / 1000)
      .add("configuration", State_.Rules_ ? State_.Rules_->version() : 0)
      .add("configuration_age_ms", State_.KeyTrust_.age(Now).count() / 1000)
      .add("quota_plan", State_.Quota_.plan().Version_);
  State_.log(Line, IsRoutine ? EventWeight::Routine : EventWeight::Notable);
}

} // namespace ebony::vm
