#include "vm/callersession.h"

#include "vm/headerfields.h"
#include "vm/jobfactory.h"

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

// Largest request body that is buffered so that it can be sent again to another
// upstream. Longer bodies are streamed and sent once.
constexpr std::size_t MaxReplayableBody = 512UL * 1024;
// Deadline of a request whose caller sends none.
constexpr base::Duration DefaultDeadline = std::chrono::seconds(30);

// Retry-After for callers of a VM that has no configuration, or whose
// configuration is too old for keys to be trusted.
constexpr base::Duration NoConfigurationRetryAfter =
    std::chrono::milliseconds(500);

// Retry-After for callers of a VM that is stopping: another VM serves them.
constexpr base::Duration StoppingRetryAfter = std::chrono::milliseconds(50);

// Connect timeout: a few round trips between regions.
constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(350);

// Longest idle time of a connection that is reused for a request which must not
// be repeated: the upstream could be closing it.
constexpr base::Duration MaxIdleForAtMostOnce = std::chrono::milliseconds(1500);

// Time after which a connection with unacknowledged data is closed.
constexpr unsigned TcpUserTimeoutMs = 5000;

// Timeout of a first attempt that may be retried: this fraction of the time
// left, but at least this multiple of the predicted latency.
constexpr double FirstAttemptTimeoutFraction = 0.5;
constexpr double FirstAttemptTimeoutFactor = 3.0;

// Retry-After following a failed attempt, as a fraction of the route's latency
// objective.
constexpr double RetryAfterFraction = 0.5;

base::Duration scaled(base::Duration Span, double Factor) {
  return base::fromSeconds(base::toSeconds(Span) * Factor);
}

const char *toText(AttemptResult Result) {
  static constexpr std::array<const char *, 8> Names = {
      "answered",    "upstream-failed", "upstream-shed", "misdirected",
      "unreachable", "answer-lost",     "silent",        "abandoned"};
  return Names.at(static_cast<std::size_t>(Result));
}

/// Returns the host of a Host header without its port.
std::string_view hostWithoutPort(std::string_view Value) {
  return Value.substr(0, Value.rfind(':'));
}

unsigned statusFor(RequestReader::HeadStatus Result) {
  constexpr unsigned HeaderTooLarge = 431;
  constexpr unsigned BodyTooLarge = 413;
  constexpr unsigned BadRequest = 400;
  if (Result == RequestReader::HeadStatus::HeaderTooLarge)
    return HeaderTooLarge;
  return Result == RequestReader::HeadStatus::BodyTooLarge ? BodyTooLarge
                                                           : BadRequest;
}

} // namespace

CallerSession::CallerSession(VmState &State, AsyncDispatcher &Dispatcher,
                             QuotaAdmission &Admission,
                             asio::ip::tcp::socket Socket)
    : State_(State), AsyncDispatcher_(Dispatcher), Admission_(Admission),
      Socket_(std::move(Socket)), Reader_(Socket_),
      Writer_(Socket_, State.Platform_.Headers_),
      DisconnectWatcher_(std::make_shared<DisconnectWatcher>(Socket_)),
      Timer_(State.Deadlines_) {
  error_code Ignored; // The options only reduce latency.
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  setsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &TcpUserTimeoutMs, sizeof(TcpUserTimeoutMs));
}

CallerSession::~CallerSession() { DisconnectWatcher_->detach(); }

void CallerSession::close() {
  error_code Ignored; // The connection is discarded either way.
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
    DisconnectWatcher_->stop();
    Timer_.disarm();
    Attempt_.reset();
    if (State_.IsStopping_)
      break;
  }
  error_code Ignored; // The caller may have closed it.
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
  const RequestReader::HeadStatus Result = co_await Reader_.readHead();
  Timer_.disarm();
  IsIdle_ = false;
  Outcome_ = RequestOutcome();
  Outcome_.Started_ = State_.now();
  Request_ = CallerRequest();
  Tally_.emplace(State_.Budget_, State_.Dispatcher_);
  if (Result == RequestReader::HeadStatus::Read)
    co_return true;
  if (Result == RequestReader::HeadStatus::Ended)
    co_return false;
  KeepsOpen_ = false;
  co_await refuse(statusFor(Result), "bad-request", base::Duration::zero());
  co_return false;
}

awaitable<bool> CallerSession::readBody() {
  while (!Reader_.isComplete() && Request_.Body_.size() < MaxReplayableBody) {
    const bool IsRead = co_await Reader_.readPiece(Request_.Body_);
    if (!IsRead)
      co_return false;
  }
  Request_.HasMoreBody_ = !Reader_.isComplete();
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

  const auto DeadlineMs = parseNonNegative(valueOf(Head, Names.Deadline_));
  const base::Duration Deadline =
      DeadlineMs ? base::Duration(std::chrono::milliseconds(*DeadlineMs))
                 : DefaultDeadline;
  // Closes the connection of a caller that has not sent the body by its
  // deadline.
  Timer_.arm(Outcome_.Started_ + Deadline, [this] { close(); });
  if (!Reader_.isComplete() &&
      equalsIgnoringCase(valueOf(Head, "Expect"), "100-continue")) {
    const bool IsSent = co_await Writer_.sendContinue();
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
  if (State_.RefusesNewRequests_) {
    co_await refuse(503, "stopping", StoppingRetryAfter);
    co_return;
  }
  const traffic::TrafficRulesPtr Rules = State_.Rules_;
  if (!Rules || !State_.KnowsUpstreams_) {
    co_await refuse(503, "no-configuration", NoConfigurationRetryAfter);
    co_return;
  }
  const std::string_view Path =
      std::string_view(Request_.Target_).substr(0, Request_.Target_.find('?'));
  const traffic::RouteSettings *Route =
      Rules->findRoute(hostWithoutPort(valueOf(Head, "Host")), Path);
  if (!Route) {
    co_await refuse(404, "no-route", base::Duration::zero());
    co_return;
  }
  Outcome_.Route_ = Route->Name_;
  const traffic::CustomerSettings *Customer = nullptr;
  if (Rules->hasCustomers() && !Route->IsPublic_) {
    if (!State_.KeyTrust_.isFresh(State_.now()) ||
        !State_.PlanTrust_.isFresh(State_.now())) {
      co_await refuse(503, "keys-not-current", NoConfigurationRetryAfter);
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
  std::unique_ptr<Job> RequestJob = JobFactory(State_).make(
      Request_, *Rules, *Route, Customer, Outcome_.Started_);
  Outcome_.Service_ = RequestJob->Service_.text();
  RequestJob->Deadline_ =
      Outcome_.Started_ + std::min(Deadline, Route->Timeout_);
  // Refuses requests that cannot be placed before they consume quota.
  const auto Refusal =
      State_.Dispatcher_.predictRefusal(*RequestJob, State_.now());
  if (Refusal) {
    co_await refuse(Tally_->failureStatus(false), Refusal->Reason_,
                    Refusal->RetryAfter_);
    co_return;
  }
  if (Customer) {
    const auto RetryAfter = co_await Admission_.admit(Customer->Name_);
    if (RetryAfter) {
      co_await refuse(429, "over-quota", *RetryAfter);
      co_return;
    }
  }
  JobId_ = RequestJob->Id_;
  DisconnectWatcher_->start([this] { handleDisconnect(); });
  co_await forward(std::move(RequestJob), *Route);
}

awaitable<void> CallerSession::forward(std::unique_ptr<Job> Job,
                                       const traffic::RouteSettings &Route) {
  for (;;) {
    const base::TimePoint QueuedAt = State_.now();
    PlacedJob Placed = co_await AsyncDispatcher_.acquire(std::move(Job));
    Outcome_.Waited_ += State_.now() - QueuedAt;
    if (!Placed.Job_) {
      Outcome_.Outcome_ = "abandoned";
      Outcome_.Reason_ = "caller-left";
      logOutcome();
      KeepsOpen_ = false;
      co_return;
    }
    Job = std::move(Placed.Job_);
    const traffic::Placement &Chosen = Placed.Placement_;
    Outcome_.PredictedLatency_ = Chosen.PredictedLatency_;
    if (Chosen.Action_ == PlacementAction::Refuse) {
      co_await refuse(Tally_->failureStatus(Chosen.Reason_ == "no-time-left"),
                      Chosen.Reason_, Chosen.RetryAfter_);
      co_return;
    }
    Placed.Job_ = std::move(Job);
    Outcome_.Upstream_ = Chosen.Upstream_->Entry_.Name_.text();
    Outcome_.Rank_ = Chosen.Rank_;
    const base::TimePoint AttemptStart = State_.now();
    Attempt_ = std::make_shared<UpstreamAttempt>(
        State_.Platform_.Headers_, State_.Connections_, State_.Deadlines_,
        attemptOptions(Placed, Route));
    BodySource MoreBody;
    if (Request_.HasMoreBody_)
      MoreBody = [this] { return Reader_.nextPiece(); };
    const auto Attempt = Attempt_;
    AttemptResult Result = co_await Attempt->run(Request_, MoreBody);
    // A successful response without the stamp was not generated by an upstream.
    constexpr unsigned FirstFailure = 300;
    if (Result == AttemptResult::Answered && Attempt->status() < FirstFailure &&
        valueOf(Attempt->fields(), State_.Platform_.Headers_.Stamp_).empty())
      Result = AttemptResult::ConnectionLost;
    AsyncDispatcher_.finish(Placed, Result, State_.now() - AttemptStart);
    Job = std::move(Placed.Job_);
    if (Result == AttemptResult::CallerLeft ||
        DisconnectWatcher_->hasDisconnected()) {
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
    const bool WillRetry = Tally_->mayRetry(
        *Job, Route, Result, Request_.HasMoreBody_, State_.now());
    if (!WillRetry) {
      if (Result == AttemptResult::Failed) {
        co_await relay(*Attempt);
        co_return;
      }
      Attempt->release(State_.now());
      co_await refuse(Tally_->failureStatus(Result == AttemptResult::TimedOut),
                      toText(Result),
                      scaled(Route.LatencyObjective_, RetryAfterFraction));
      co_return;
    }
    if (Result != AttemptResult::Unreachable)
      State_.Metrics_.Retries_.add();
    State_.log(
        EventLine("attempt-failed")
            .add("id", Request_.Id_)
            .add("upstream", Outcome_.Upstream_)
            .add("result", toText(Result))
            .add("took_ms", (State_.now() - AttemptStart).count() / 1000));
    Attempt->release(State_.now());
  }
}

AttemptOptions
CallerSession::attemptOptions(const PlacedJob &Chosen,
                              const traffic::RouteSettings &Route) {
  const traffic::UpstreamEntry &Entry = Chosen.Placement_.Upstream_->Entry_;
  const Job &RequestJob = *Chosen.Job_;
  const base::TimePoint Now = State_.now();
  AttemptOptions Options;
  Options.Upstream_ = Entry.Name_;
  Options.Address_ = {asio::ip::make_address(Entry.Address_), Entry.Port_};
  Options.Deadline_ = RequestJob.Deadline_;
  Options.TimeLeft_ = Options.Deadline_ - Now;
  if (RequestJob.RetryPolicy_ == RetryPolicy::Idempotent &&
      Tally_->attempts() == 0) {
    Options.GiveUpAfter_ =
        Now + std::max(scaled(Options.TimeLeft_, FirstAttemptTimeoutFraction),
                       scaled(Chosen.Placement_.PredictedLatency_,
                              FirstAttemptTimeoutFactor));
    Options.MayGiveUp_ = [this, &RequestJob, &Route] {
      return !State_.IsStopping_ &&
             Tally_->reserveRetry(RequestJob, Route, Request_.HasMoreBody_,
                                  State_.now());
    };
  }
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.MaxIdle_ = RequestJob.RetryPolicy_ == RetryPolicy::Idempotent
                         ? base::Duration::max()
                         : MaxIdleForAtMostOnce;
  return Options;
}

void CallerSession::handleDisconnect() {
  AsyncDispatcher_.cancel(JobId_);
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
  // An unread body would be parsed as the next request.
  if (Request_.HasMoreBody_ || State_.IsStopping_)
    KeepsOpen_ = false;
  logOutcome();
  // Named because GCC 12 destroys a braced temporary in a co_await expression
  // twice.
  const LocalResponse Response{Status, Outcome_.Reason_, RetryAfter};
  const bool IsSent = co_await Writer_.refuse(Request_, Response, KeepsOpen_);
  if (!IsSent)
    KeepsOpen_ = false;
}

awaitable<void> CallerSession::relay(UpstreamAttempt &Attempt) {
  Outcome_.Status_ = Attempt.status();
  Outcome_.Outcome_ = Attempt.status() < 500 ? "served" : "failed";
  Outcome_.Reason_ = "upstream-answer";
  if (State_.IsStopping_ || Request_.HasMoreBody_)
    KeepsOpen_ = false;
  const ResponseWriter::RelayResult Result =
      co_await Writer_.relay(Request_, Attempt, KeepsOpen_);
  if (Result == ResponseWriter::RelayResult::Truncated) {
    Outcome_.Outcome_ = "failed";
    Outcome_.Reason_ = "answer-broke-off";
  }
  if (Result != ResponseWriter::RelayResult::Whole)
    KeepsOpen_ = false;
  Attempt.release(State_.now());
  logOutcome();
}

void CallerSession::logOutcome() {
  const base::TimePoint Now = State_.now();
  const base::Duration Elapsed = Now - Outcome_.Started_;
  const bool IsRoutine =
      Outcome_.Outcome_ == "served" && Tally_->attempts() == 0;
  State_.Metrics_.countRequest(Outcome_.Outcome_, Outcome_.Reason_);
  State_.Metrics_.Latency_.record(Elapsed);
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
      .add("foreseen_ms", Outcome_.PredictedLatency_.count() / 1000)
      .add("waited_ms", Outcome_.Waited_.count() / 1000)
      .add("took_ms", Elapsed.count() / 1000)
      .add("configuration", State_.Rules_ ? State_.Rules_->version() : 0)
      .add("configuration_age_ms", State_.KeyTrust_.age(Now).count() / 1000)
      .add("quota_plan", State_.Quota_.plan().Version_);
  State_.log(Line, IsRoutine ? EventWeight::Routine : EventWeight::Notable);
}

} // namespace ebony::vm
