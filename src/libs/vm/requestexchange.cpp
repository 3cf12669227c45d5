#include "vm/requestexchange.h"

#include "vm/fingerprinter.h"
#include "vm/headerfields.h"
#include "vm/jobfactory.h"
#include "vm/responsenotices.h"
#include "vm/upstreamprobe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <utility>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
using asynckit::awaitable;
using telemetry::EventLine;
using telemetry::EventWeight;
using traffic::AttemptResult;
using traffic::Job;
using traffic::PlacementAction;
using traffic::RetryPolicy;

// Connect timeout: a few round trips between regions.
constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(350);

// Longest idle time of a connection that is reused for a request which must not
// be repeated: the upstream could be closing it.
constexpr base::Duration MaxIdleForAtMostOnce = std::chrono::milliseconds(1500);

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
  static constexpr std::array<const char *, 9> Names = {
      "answered",    "upstream-failed", "upstream-shed",
      "misdirected", "unreachable",     "withheld",
      "answer-lost", "silent",          "abandoned"};
  return Names.at(static_cast<std::size_t>(Result));
}

/// Returns whether \p Status promises that the request did not run.
bool isRefusal(unsigned Status) {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned TooMany = 429;
  return Status == Unavailable || Status == TooMany;
}

} // namespace

RequestExchange::RequestExchange(VmState &State, AsyncDispatcher &Dispatcher,
                                 QuotaAdmission &Admission,
                                 RequestOrigin Origin, CallerRequest Request,
                                 base::TimePoint Arrived, BodySource MoreBody,
                                 std::function<void()> OnResponse)
    : State_(State), AsyncDispatcher_(Dispatcher), Admission_(Admission),
      Origin_(Origin), Request_(std::move(Request)),
      MoreBody_(std::move(MoreBody)), OnResponse_(std::move(OnResponse)),
      Counted_(State.Exchanges_), Tally_(State.Budget_, State.Dispatcher_),
      ResponseReady_(State.Context_) {
  Outcome_.Started_ = Arrived;
}

bool RequestExchange::isAtMostOnce() const {
  if (!State_.Rules_)
    return false;
  const traffic::RouteSettings *Route = findRoute(*State_.Rules_, Request_);
  return Route && Route->RetryPolicy_ == RetryPolicy::AtMostOnce;
}

std::size_t RequestExchange::heldBytes() const {
  const std::size_t Body = Request_.Body_.capacity();
  std::size_t Bytes = memoryOf(Request_);
  // An attempt sends the body from a copy.
  if (Body > UpstreamAttempt::MaxInlineBody)
    Bytes += Body;
  if (IsReady_ && !OwnResponse_ && Attempt_)
    Bytes += Attempt_->heldBytes();
  return Bytes;
}

void RequestExchange::start(bool IsAlone) {
  HasStarted_ = true;
  asio::co_spawn(State_.Context_, run(shared_from_this(), IsAlone),
                 asio::detached);
}

awaitable<void> RequestExchange::run(std::shared_ptr<RequestExchange> Self,
                                     bool IsAlone) {
  try {
    if (Self->IsAbandoned_)
      Self->finishAbandoned();
    else
      co_await Self->process(IsAlone);
  } catch (const std::exception &Error) {
    Self->State_.log(EventLine("request-error")
                         .add("id", Self->Request_.Id_)
                         .add("error", Error.what()));
    // The request may have been executed.
    Self->answer(502, "internal-error", base::Duration::zero());
  }
  Self->setResponseReady();
}

void RequestExchange::reject(const RequestRefusal &Refusal) {
  HasStarted_ = true;
  answer(Refusal.Status_, Refusal.Reason_, Refusal.RetryAfter_);
  setResponseReady();
}

void RequestExchange::setResponseReady() {
  IsReady_ = true;
  ReadySince_ = State_.now();
  if (OnResponse_)
    OnResponse_();
  ResponseReady_.notify();
}

awaitable<void> RequestExchange::awaitResponse() {
  co_await ResponseReady_.wait();
}

void RequestExchange::abandon() {
  if (IsAbandoned_)
    return;
  IsAbandoned_ = true;
  AsyncDispatcher_.cancel(JobId_);
  if (Attempt_)
    Attempt_->abandon();
  const bool IsUnwritten = IsReady_ && !OwnResponse_ && !IsWriting_;
  if (!HasStarted_ || IsUnwritten)
    finishAbandoned();
  ResponseReady_.notify();
}

awaitable<void> RequestExchange::process(bool IsAlone) {
  const traffic::TrafficRulesPtr Rules = State_.Rules_;
  const HeadDecision Decision = checkHead(State_, Request_);
  const traffic::RouteSettings *Route = Decision.Route_;
  if (Route)
    Outcome_.Route_ = Route->Name_;
  if (Route && !IsAlone && Route->RetryPolicy_ == RetryPolicy::AtMostOnce) {
    answer(503, "route-changed", NoConfigurationRetryAfter);
    co_return;
  }
  if (Decision.Refusal_) {
    answer(Decision.Refusal_->Status_, Decision.Refusal_->Reason_,
           Decision.Refusal_->RetryAfter_);
    co_return;
  }
  const traffic::CustomerSettings *Customer = Decision.Customer_;
  if (Customer)
    Request_.Customer_ = Customer->Name_.text();
  if (!State_.makeRoomForUpstreamConnection()) {
    answer(503, "connections-short", NoConfigurationRetryAfter);
    co_return;
  }
  if (const auto RefusedFor = refusedForCrashes()) {
    answer(503, "ends-upstreams", *RefusedFor);
    co_return;
  }
  const base::TimePoint Deadline =
      Outcome_.Started_ + std::min(Request_.Deadline_, Route->Timeout_);
  const bool IsRelayed =
      co_await relay(JobFactory::homeRegions(*Route, Customer), Deadline);
  if (IsRelayed)
    co_return;
  std::unique_ptr<Job> RequestJob = JobFactory(State_).make(
      Request_, *Rules, *Route, Customer, Outcome_.Started_);
  Outcome_.Service_ = RequestJob->Service_.text();
  RequestJob->Deadline_ = Deadline;
  // Refuses requests that cannot be placed before they consume quota.
  const auto Refusal =
      State_.Dispatcher_.predictRefusal(*RequestJob, State_.now());
  if (Refusal) {
    answer(Tally_.failureStatus(false), Refusal->Reason_, Refusal->RetryAfter_);
    co_return;
  }
  if (Customer) {
    const auto RetryAfter = co_await Admission_.admit(Customer->Name_);
    if (RetryAfter) {
      answer(429, "over-quota", *RetryAfter);
      co_return;
    }
  }
  JobId_ = RequestJob->Id_;
  if (IsAbandoned_)
    finishAbandoned();
  else
    co_await forward(std::move(RequestJob), *Route);
}

awaitable<void> RequestExchange::forward(std::unique_ptr<Job> Job,
                                         const traffic::RouteSettings &Route) {
  for (;;) {
    const base::TimePoint QueuedAt = State_.now();
    PlacedJob Placed = co_await AsyncDispatcher_.acquire(std::move(Job));
    Outcome_.Waited_ += State_.now() - QueuedAt;
    if (!Placed.Job_) {
      finishAbandoned();
      co_return;
    }
    const traffic::Placement &Chosen = Placed.Placement_;
    Outcome_.PredictedLatency_ = Chosen.PredictedLatency_;
    if (Chosen.Action_ == PlacementAction::Refuse) {
      answer(Tally_.failureStatus(Chosen.Reason_ == "no-time-left"),
             Chosen.Reason_, Chosen.RetryAfter_);
      co_return;
    }
    // It may have been blamed while it waited.
    if (const auto RefusedFor = refusedForCrashes()) {
      AsyncDispatcher_.finish(Placed, AttemptResult::CallerLeft,
                              base::Duration::zero());
      answer(Tally_.failureStatus(false), "ends-upstreams", *RefusedFor);
      co_return;
    }
    Outcome_.Upstream_ = Chosen.Upstream_->Entry_.Name_.text();
    Outcome_.Rank_ = Chosen.Rank_;
    const base::TimePoint Started = State_.now();
    AttemptResult Result = AttemptResult::CallerLeft;
    if (!IsAbandoned_) {
      recordColdSend(*Chosen.Upstream_);
      Attempt_ = std::make_shared<UpstreamAttempt>(
          State_.Platform_.Headers_, State_.Connections_, State_.Deadlines_,
          attemptOptions(Placed, Route));
      Result = co_await Attempt_->run(Request_, MoreBody_);
      // A successful response without the stamp was not generated by an
      // upstream.
      constexpr unsigned FirstFailure = 300;
      if (Result == AttemptResult::Answered &&
          Attempt_->status() < FirstFailure &&
          valueOf(Attempt_->fields(), State_.Platform_.Headers_.Stamp_).empty())
        Result = AttemptResult::ConnectionLost;
      ResponseNotices(State_).record(*Chosen.Upstream_, *Attempt_, Request_.Id_,
                                     Result, Started);
      recordReachability(*Chosen.Upstream_, Result);
      logProblem();
    }
    AsyncDispatcher_.finish(Placed, Result, State_.now() - Started);
    Job = std::move(Placed.Job_);
    if (Result == AttemptResult::ConnectionLost && !Attempt_->isComplete()) {
      auto Investigation =
          investigateLoss(shared_from_this(), Chosen.Upstream_, Started);
      // Only a retry has to know what the loss tells.
      const bool MayRetry = Job->RetryPolicy_ == RetryPolicy::Idempotent &&
                            Tally_.attempts() + 1 < Route.MaxAttempts_;
      if (MayRetry)
        co_await std::move(Investigation);
      else
        asio::co_spawn(State_.Context_, std::move(Investigation),
                       asio::detached);
    }
    // A request that was not sent counts as failed only if no VM takes it over.
    if (!traffic::wasNothingSent(Result) &&
        settleAttempt(*Job, Route, Result, Started))
      co_return;
    const bool IsRelayed = co_await relay(Job->HomeRegions_, Job->Deadline_);
    if (IsRelayed)
      co_return;
    if (traffic::wasNothingSent(Result) &&
        settleAttempt(*Job, Route, Result, Started))
      co_return;
  }
}

awaitable<bool>
RequestExchange::relay(std::vector<base::RegionName> HomeRegions,
                       base::TimePoint Deadline) {
  if (Origin_ == RequestOrigin::Peer || IsAbandoned_ ||
      State_.Reachability_.reachesUpstreams())
    co_return false;
  RequestRelay Relay(State_);
  const std::optional<AttemptResult> Result =
      co_await Relay.run(Request_, MoreBody_, HomeRegions, Deadline, Attempt_);
  if (IsAbandoned_) {
    finishAbandoned();
    co_return true;
  }
  if (!Result)
    co_return false;
  Outcome_.RelayedTo_ = Relay.peer();
  const bool IsLost = *Result == AttemptResult::ConnectionLost ||
                      *Result == AttemptResult::TimedOut;
  if (IsLost) {
    Tally_.recordResult(*Result);
    Attempt_->release(State_.now());
    answer(Tally_.failureStatus(*Result == AttemptResult::TimedOut),
           "relay-lost", base::Duration::zero());
  }
  co_return true;
}

void RequestExchange::recordColdSend(const traffic::UpstreamState &Upstream) {
  const base::TimePoint Now = State_.now();
  if (!Upstream.isCold(Now))
    return;
  State_.Metrics_.SendsToCold_.add();
  State_.log(
      EventLine("cold-send")
          .add("id", Request_.Id_)
          .add("upstream", Upstream.Entry_.Name_.text())
          .add("cold_ms", Upstream.coldRemaining(Now).count() / 1000)
          .add("vms", static_cast<std::int64_t>(State_.ColdLimiter_.vmCount()))
          .add("ranked_before",
               static_cast<std::int64_t>(
                   State_.ColdLimiter_.countHigherRanked(Upstream))));
}

void RequestExchange::recordReachability(const traffic::UpstreamState &Upstream,
                                         AttemptResult Result) {
  const base::TimePoint Now = State_.now();
  if (Attempt_->hasOpenedConnection())
    State_.Reachability_.recordConnection(Now);
  if (Attempt_->hasResponse()) {
    State_.Reachability_.recordResponse(Now);
    return;
  }
  if (Result == AttemptResult::Unreachable)
    State_.Metrics_.FailedConnections_.add();
  if (Result == AttemptResult::Unreachable ||
      Result == AttemptResult::ConnectionLost)
    State_.Reachability_.recordFailure(Upstream.Entry_.Name_);
}

void RequestExchange::logProblem() {
  if (Attempt_->problem().empty())
    return;
  State_.Metrics_.RejectedAnswers_.add();
  State_.log(EventLine("answer-rejected")
                 .add("id", Request_.Id_)
                 .add("upstream", Outcome_.Upstream_)
                 .add("problem", Attempt_->problem()));
}

traffic::RequestFingerprint RequestExchange::fingerprint() {
  if (!Fingerprint_)
    Fingerprint_ = fingerprintOf(Request_);
  return *Fingerprint_;
}

std::optional<base::Duration> RequestExchange::refusedForCrashes() {
  if (!State_.Crashes_.refusesAny())
    return std::nullopt;
  return State_.Crashes_.refusedFor(fingerprint(), State_.now());
}

awaitable<void>
RequestExchange::investigateLoss(std::shared_ptr<RequestExchange> Self,
                                 traffic::UpstreamPtr Upstream,
                                 base::TimePoint Started) {
  VmState &State = Self->State_;
  const base::TimePoint LostAt = State.now();
  const bool HasEnded = co_await hasUpstreamEnded(State, Upstream);
  if (!HasEnded)
    co_return;
  State.Metrics_.UpstreamEnds_.add();
  const traffic::RequestFingerprint Fingerprint = Self->fingerprint();
  State.Crashes_.recordCrash(Upstream->runTag(), Fingerprint, LostAt - Started,
                             LostAt);
  State.AreReportsDue_ = true;
  State.log(
      EventLine("upstream-ended")
          .add("id", Self->Request_.Id_)
          .add("upstream", Upstream->Entry_.Name_.text())
          .add("fingerprint", traffic::toHex(Fingerprint))
          .add("upstreams_ended", static_cast<std::int64_t>(
                                      State.Crashes_.crashCount(Fingerprint)))
          .add("ran_ms", (LostAt - Started).count() / 1000));
  State.logBlamedRequests("id", Self->Request_.Id_);
}

// Returns false if the request is to be sent to another upstream.
bool RequestExchange::settleAttempt(const Job &RequestJob,
                                    const traffic::RouteSettings &Route,
                                    AttemptResult Result,
                                    base::TimePoint Started) {
  if (Result == AttemptResult::CallerLeft || IsAbandoned_) {
    if (Attempt_)
      Attempt_->abandon();
    finishAbandoned();
    return true;
  }
  if (Result == AttemptResult::Answered) {
    if (!State_.Crashes_.isEmpty()) {
      State_.Crashes_.recordAnswer(fingerprint(), State_.now());
      State_.logBlamedRequests("id", Request_.Id_);
    }
    return true;
  }
  Tally_.recordResult(Result);
  const bool MayRetry =
      State_.Crashes_.isEmpty() || State_.Crashes_.mayRetry(fingerprint());
  const bool WillRetry =
      MayRetry && Tally_.mayRetry(RequestJob, Route, Result,
                                  Request_.HasMoreBody_, State_.now());
  if (!WillRetry && Result == AttemptResult::Failed)
    return true;
  Attempt_->release(State_.now());
  if (!WillRetry) {
    answer(Tally_.failureStatus(Result == AttemptResult::TimedOut),
           toText(Result), scaled(Route.LatencyObjective_, RetryAfterFraction));
    return true;
  }
  if (!traffic::wasNothingSent(Result))
    State_.Metrics_.Retries_.add();
  State_.log(EventLine("attempt-failed")
                 .add("id", Request_.Id_)
                 .add("upstream", Outcome_.Upstream_)
                 .add("result", toText(Result))
                 .add("took_ms", (State_.now() - Started).count() / 1000));
  return false;
}

AttemptOptions
RequestExchange::attemptOptions(const PlacedJob &Chosen,
                                const traffic::RouteSettings &Route) {
  const traffic::UpstreamEntry &Entry = Chosen.Placement_.Upstream_->Entry_;
  const Job &RequestJob = *Chosen.Job_;
  const base::TimePoint Now = State_.now();
  AttemptOptions Options;
  Options.Upstream_ = Entry.Name_;
  asynckit::error_code Ignored; // No upstream listens at the null address.
  Options.Address_ = {asio::ip::make_address(Entry.Address_, Ignored),
                      Entry.Port_};
  Options.Deadline_ = RequestJob.Deadline_;
  Options.TimeLeft_ = Options.Deadline_ - Now;
  if (RequestJob.RetryPolicy_ == RetryPolicy::Idempotent &&
      Tally_.attempts() == 0) {
    Options.GiveUpAfter_ =
        Now + std::max(scaled(Options.TimeLeft_, FirstAttemptTimeoutFraction),
                       scaled(Chosen.Placement_.PredictedLatency_,
                              FirstAttemptTimeoutFactor));
    Options.MayGiveUp_ = [this, &RequestJob, &Route] {
      return !State_.IsStopping_ &&
             Tally_.reserveRetry(RequestJob, Route, Request_.HasMoreBody_,
                                 State_.now());
    };
  }
  Options.MaySend_ = [this, Upstream = Chosen.Placement_.Upstream_] {
    return State_.Dispatcher_.gate()
        .permission(*Upstream, traffic::SendStage::Send, State_.now())
        .isNow();
  };
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.MaxIdle_ = RequestJob.RetryPolicy_ == RetryPolicy::Idempotent
                         ? base::Duration::max()
                         : MaxIdleForAtMostOnce;
  return Options;
}

void RequestExchange::answer(unsigned Status, std::string Reason,
                             base::Duration RetryAfter) {
  Outcome_.Status_ = Status;
  Outcome_.Outcome_ = isRefusal(Status) || Status < 500 ? "refused" : "failed";
  Outcome_.Reason_ = std::move(Reason);
  OwnResponse_ = LocalResponse{Status, Outcome_.Reason_, RetryAfter};
  logOutcome();
}

void RequestExchange::finishAbandoned() {
  IsAbandoned_ = true;
  Outcome_.Outcome_ = "abandoned";
  Outcome_.Reason_ = "caller-left";
  logOutcome();
}

awaitable<bool> RequestExchange::writeResponse(ResponseWriter &Writer,
                                               bool KeepsOpen) {
  IsWriting_ = true;
  if (OwnResponse_)
    co_return co_await Writer.refuse(Request_, *OwnResponse_, KeepsOpen);
  Outcome_.WaitedForTurn_ = State_.now() - ReadySince_;
  Outcome_.Status_ = Attempt_->status();
  Outcome_.Outcome_ = Attempt_->status() < 500 ? "served" : "failed";
  Outcome_.Reason_ = "upstream-answer";
  if (!Outcome_.RelayedTo_.empty()) {
    Outcome_.Reason_ = "relayed-answer";
    if (isRefusal(Attempt_->status()))
      Outcome_.Outcome_ = "refused";
  }
  const ResponseWriter::RelayResult Result =
      co_await Writer.relay(Request_, *Attempt_, KeepsOpen);
  if (Result == ResponseWriter::RelayResult::Truncated) {
    logProblem();
    Outcome_.Outcome_ = "failed";
    Outcome_.Reason_ = "answer-broke-off";
  }
  Attempt_->release(State_.now());
  logOutcome();
  co_return Result == ResponseWriter::RelayResult::Whole;
}

void RequestExchange::logOutcome() {
  const base::TimePoint Now = State_.now();
  const base::Duration Elapsed = Now - Outcome_.Started_;
  const bool IsRoutine =
      Outcome_.Outcome_ == "served" && Tally_.attempts() == 0;
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
      .add("attempts", Tally_.attempts())
      .add("foreseen_ms", Outcome_.PredictedLatency_.count() / 1000)
      .add("waited_ms", Outcome_.Waited_.count() / 1000)
      .add("turn_ms", Outcome_.WaitedForTurn_.count() / 1000)
      .add("took_ms", Elapsed.count() / 1000)
      .add("configuration", State_.Rules_ ? State_.Rules_->version() : 0)
      .add("configuration_age_ms", State_.KeyTrust_.age(Now).count() / 1000)
      .add("store_news_ms", State_.StoreNews_.age(Now).count() / 1000)
      .add("quota_plan", State_.Quota_.plan().Version_);
  if (!Outcome_.RelayedTo_.empty())
    Line.add("relayed_to", Outcome_.RelayedTo_);
  if (Origin_ == RequestOrigin::Peer)
    Line.add("from_peer", 1);
  State_.log(Line, IsRoutine ? EventWeight::Routine : EventWeight::Notable);
}

} // namespace ebony::vm
