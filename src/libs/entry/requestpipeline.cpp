#include "entry/requestpipeline.h"

namespace ebony::entry {

namespace {

namespace net = Poco::Net;
using httpkit::Outcome;
using httpkit::Problem;

constexpr int RequestTimeout = 408;
constexpr int TooLarge = 413;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int MaxAttempts = 3;
constexpr std::size_t MaxRelayCandidates = 2;
constexpr base::Duration OverloadRetryAfter = std::chrono::seconds(1);

/// Only a request of which no part was sent to an upstream gets the status that
/// promises that it did not run.
Problem bodyTooSlow(Outcome Result) {
  return {Result == Outcome::NotRun ? RequestTimeout : GatewayTimeout, Result,
          "body-too-slow", "Send the body before the request's deadline.",
          std::nullopt};
}

Problem stoppingProblem() {
  return {Unavailable, Outcome::NotRun, "vm-leaving",
          "Look up another entry VM; this one is leaving.", std::nullopt};
}

} // namespace

/// State of a request that is being processed.
struct RequestPipeline::ActiveRequest {
  const RequestContext &Context_;
  net::HTTPServerRequest &Request_;
  net::HTTPServerResponse &Response_;
  RequestBody Body_;
};

RequestPipeline::RequestPipeline(RequestValidator &Validator,
                                 Dispatcher &SlotDispatcher,
                                 Forwarder &RequestForwarder,
                                 RelaySelector &Relays,
                                 const base::Clock &Clock,
                                 telemetry::DecisionLog &Decisions,
                                 telemetry::MetricsRegistry &Metrics)
    : Validator_(Validator), Dispatcher_(SlotDispatcher),
      Forwarder_(RequestForwarder), RelaySelector_(Relays), Clock_(Clock),
      Decisions_(Decisions), Metrics_(Metrics),
      Latency_(Metrics.latency("ebony_request_seconds",
                               "Time from a request's arrival to its end.")) {}

void RequestPipeline::handleCallerRequest(net::HTTPServerRequest &Request,
                                          net::HTTPServerResponse &Response) {
  if (IsStopping_)
    return sendRefusal(Response, stoppingProblem());
  processRequest(Validator_.validate(Request), Request, Response);
}

void RequestPipeline::handleRelayedRequest(net::HTTPServerRequest &Request,
                                           net::HTTPServerResponse &Response) {
  Response.set("Ebony-Request-Id", Request.get("Ebony-Request-Id", ""));
  if (IsStopping_)
    return sendRefusal(Response, stoppingProblem());
  if (!RelaySelector_.isEntryVm(Request.clientAddress().host().toString()))
    return sendRefusal(
        Response, {403, Outcome::NotRun, "not-an-entry-vm",
                   "Send requests to the entry port; this port serves entry "
                   "VMs only.",
                   std::nullopt});
  processRequest(Validator_.validateRelayed(Request), Request, Response);
}

void RequestPipeline::processRequest(ValidationResult Validation,
                                     net::HTTPServerRequest &Request,
                                     net::HTTPServerResponse &Response) {
  if (const auto *Refusal = std::get_if<Problem>(&Validation)) {
    telemetry::DecisionRecord Record;
    Record.Service_ = Request.getURI();
    Record.Decision_ = "refuse";
    Record.Reason_ = Refusal->Reason_;
    Decisions_.write(Record);
    return sendRefusal(Response, *Refusal);
  }
  const auto &Context = std::get<RequestContext>(Validation);
  Response.set("Ebony-Request-Id", Context.Id_.text());
  ActiveRequest Active{
      Context, Request, Response,
      RequestBody(Request, Context.MaxBodyBytes_, Clock_, Context.Deadline_)};
  const StepResult Refusal = serve(Active);
  Latency_.record(Clock_.now() - Context.ArrivedAt_);
  if (!Refusal) {
    Metrics_
        .counter("ebony_requests_total", "Requests by outcome.",
                 "outcome=\"complete\"")
        .add();
    return;
  }
  recordDecision(Active, "refuse", Refusal->Reason_, "");
  sendRefusal(Response, *Refusal);
}

RequestPipeline::StepResult RequestPipeline::serve(ActiveRequest &Active) {
  switch (Active.Body_.bufferSmallBody()) {
  case BodyResult::Sent:
    break;
  case BodyResult::TooSlow:
    Active.Response_.setKeepAlive(false);
    return bodyTooSlow(Outcome::NotRun);
  default:
    Active.Response_.setKeepAlive(false);
    return Problem{400, Outcome::NotRun, "body-cut",
                   "Send the whole body that the head declares.", std::nullopt};
  }
  const bool MayRelay = !Active.Context_.IsRelayed_;
  if (MayRelay && !Dispatcher_.hasUsableTarget(Active.Context_.Path_.Service_))
    return relayToOtherZone(Active);
  return serveInZone(Active);
}

RequestPipeline::StepResult
RequestPipeline::serveInZone(ActiveRequest &Active) {
  StepResult LastProblem;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Slot = Dispatcher_.waitForSlot(Active.Context_);
    if (const auto *Failure = std::get_if<DispatchFailure>(&Slot))
      return LastProblem ? LastProblem : problemFor(*Failure);
    if (auto KeyProblem = Validator_.recheckKey(Active.Context_)) {
      std::get<SlotLease>(Slot).recordResult(routing::AttemptResult::Shed,
                                             std::nullopt);
      return KeyProblem;
    }
    bool MayRetry = false;
    LastProblem = attemptForward(Active, std::get<SlotLease>(Slot), MayRetry);
    if (!MayRetry)
      return LastProblem;
  }
  return LastProblem;
}

RequestPipeline::StepResult
RequestPipeline::attemptForward(ActiveRequest &Active, SlotLease &Slot,
                                bool &MayRetry) {
  const std::string &Name = Slot.choice().Name_.text();
  const auto *Target =
      Active.Context_.Configuration_->find<records::UpstreamRecord>(Name);
  if (Target == nullptr) {
    Slot.recordResult(routing::AttemptResult::Shed, std::nullopt);
    MayRetry = true;
    return problemFor(DispatchFailure::NoTarget);
  }
  recordDecision(Active, "forward", Slot.choice().Considered_, Name);
  const ForwardResult Result =
      Forwarder_.forward(Active.Context_, Active.Request_, Active.Body_,
                         {Target->Address_, Target->Port_}, Active.Response_);
  const bool IsNotSent = Result.Status_ == ForwardStatus::Unreachable;
  const bool IsNotRun = Result.Status_ == ForwardStatus::NotRun;
  if (IsNotSent)
    Slot.recordResult(routing::AttemptResult::Unreachable, std::nullopt);
  else if (IsNotRun)
    Slot.recordResult(routing::AttemptResult::Shed, Result.ReportedPermille_);
  else if (Result.Status_ == ForwardStatus::Answered ||
           Result.Status_ == ForwardStatus::CallerDisconnected ||
           Result.Status_ == ForwardStatus::BodyTooSlow ||
           Result.Status_ == ForwardStatus::BodyTooLarge)
    Slot.recordResult(routing::AttemptResult::Answered,
                      Result.ReportedPermille_);
  MayRetry = (IsNotSent || IsNotRun) && Active.Body_.canResend();
  return problemFor(Result, Active);
}

RequestPipeline::StepResult
RequestPipeline::relayToOtherZone(ActiveRequest &Active) {
  StepResult LastProblem = problemFor(DispatchFailure::NoTarget);
  for (const wire::Endpoint &Peer :
       RelaySelector_.candidates(Active.Context_, MaxRelayCandidates)) {
    if (auto KeyProblem = Validator_.recheckKey(Active.Context_))
      return KeyProblem;
    recordDecision(Active, "relay", "no-target-in-zone", toText(Peer));
    const ForwardResult Result = Forwarder_.relay(
        Active.Context_, Active.Request_, Active.Body_, Peer, Active.Response_);
    LastProblem = problemFor(Result, Active);
    const bool MayRetry = (Result.Status_ == ForwardStatus::Unreachable ||
                           Result.Status_ == ForwardStatus::NotRun) &&
                          Active.Body_.canResend();
    if (!MayRetry)
      return LastProblem;
  }
  return LastProblem;
}

Problem RequestPipeline::problemFor(DispatchFailure Failure) const {
  switch (Failure) {
  case DispatchFailure::NoTarget:
    return {Unavailable, Outcome::NotRun, "no-target",
            "Try again after the given time; no upstream of the service can "
            "take the request.",
            OverloadRetryAfter};
  case DispatchFailure::QueueFull:
    return {Unavailable, Outcome::NotRun, "queue-full",
            "Send less at once, or again after the given time; too many of "
            "the customer's requests are waiting.",
            OverloadRetryAfter};
  case DispatchFailure::DeadlinePassed:
    break;
  }
  return {GatewayTimeout, Outcome::NotRun, "no-slot-in-time",
          "Try again after the given time; no upstream was free before the "
          "deadline.",
          OverloadRetryAfter};
}

RequestPipeline::StepResult
RequestPipeline::problemFor(const ForwardResult &Result,
                            ActiveRequest &Active) const {
  switch (Result.Status_) {
  case ForwardStatus::Answered:
    return std::nullopt;
  case ForwardStatus::Truncated:
    throw Poco::IOException(
        "upstream response was truncated after a part was sent to the caller");
  case ForwardStatus::Unreachable:
    return Problem{Unavailable, Outcome::NotRun, "upstream-unreachable",
                   "Try again after the given time; the upstream could not be "
                   "reached.",
                   OverloadRetryAfter};
  case ForwardStatus::NotRun:
    return Problem{Unavailable, Outcome::NotRun, "upstream-shed",
                   "Try again after the given time; the upstream took no more "
                   "work.",
                   OverloadRetryAfter};
  case ForwardStatus::BodyTooLarge:
    Active.Response_.setKeepAlive(false);
    return Problem{TooLarge, Outcome::Unknown, "body-too-large",
                   "Send a smaller body; the service's limit is exceeded.",
                   std::nullopt};
  case ForwardStatus::BodyTooSlow:
    Active.Response_.setKeepAlive(false);
    return bodyTooSlow(Outcome::Unknown);
  case ForwardStatus::CallerDisconnected:
    Active.Response_.setKeepAlive(false);
    return Problem{400, Outcome::Unknown, "body-cut",
                   "Send the whole body that the head declares.", std::nullopt};
  case ForwardStatus::Unknown:
    break;
  }
  const bool IsLate = Clock_.now() >= Active.Context_.Deadline_;
  return Problem{
      IsLate ? GatewayTimeout : BadGateway, Outcome::Unknown, "no-whole-answer",
      "Look up whether the request ran before sending it again.", std::nullopt};
}

void RequestPipeline::recordDecision(const ActiveRequest &Active,
                                     const char *Decision,
                                     const std::string &Reason,
                                     const std::string &Chosen) {
  telemetry::DecisionRecord Record;
  Record.RequestId_ = Active.Context_.Id_.text();
  Record.Customer_ = Active.Context_.Customer_.text();
  Record.Service_ = Active.Context_.Path_.Service_.text();
  Record.Route_ = Active.Context_.RouteName_;
  Record.Decision_ = Decision;
  Record.Chosen_ = Chosen;
  const bool IsForward = Record.Decision_ == "forward";
  Record.Reason_ = IsForward ? "least-loaded-of-two" : Reason;
  Record.Considered_ = IsForward ? Reason : "";
  Decisions_.write(Record);
}

void RequestPipeline::sendRefusal(net::HTTPServerResponse &Response,
                                  const Problem &Problem) {
  Metrics_
      .counter("ebony_requests_total", "Requests by outcome.",
               "outcome=\"" + std::string(toText(Problem.Outcome_)) + "\"")
      .add();
  Metrics_
      .counter("ebony_refusals_total", "Refusals and failures by reason.",
               "reason=\"" + Problem.Reason_ + "\"")
      .add();
  httpkit::sendProblem(Response, Problem);
}

} // namespace ebony::entry
