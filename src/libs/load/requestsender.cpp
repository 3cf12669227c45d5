#include "load/requestsender.h"

#include "load/answercheck.h"

#include <algorithm>
#include <thread>

namespace ebony::load {

namespace {

constexpr base::Duration DefaultTimeout = std::chrono::seconds(10);
constexpr base::Duration TimeoutMargin = std::chrono::seconds(2);
constexpr int ServiceUnavailable = 503;

const FleetCustomer *findCustomer(const Fleet &TargetFleet,
                                  const std::string &Name) {
  const auto Found =
      std::ranges::find(TargetFleet.Customers_, Name, &FleetCustomer::Name_);
  return Found == TargetFleet.Customers_.end() ? nullptr : &*Found;
}

} // namespace

/// State shared by all attempts of one request.
struct RequestSender::SubmissionContext {
  const RequestClass &Class_;
  const std::string &Customer_;
  int HomeZone_ = 0;
  std::uint64_t SequenceNumber_ = 0;
  std::string Operation_;

  std::string targetSuffix() const {
    return Class_.Path_ + "?n=" + std::to_string(SequenceNumber_);
  }
};

RequestSender::RequestSender(const Fleet &TargetFleet, const Workload &Load,
                             HttpCaller &Caller, LookupCache &Lookups,
                             const base::Clock &Clock, base::TimePoint Start)
    : Fleet_(TargetFleet), Workload_(Load), Caller_(Caller), Lookups_(Lookups),
      Clock_(Clock), Start_(Start) {}

RequestRecord RequestSender::send(const Arrival &Planned) {
  const CustomerLoad &Customer = Workload_.Customers_[Planned.Customer_];
  const int HomeZone = Fleet_.zoneIndex(Customer.HomeZones_[Planned.HomeZone_]);
  SubmissionContext Context{Workload_.Classes_[Planned.Class_],
                            Customer.Customer_, HomeZone, ++RequestCounter_,
                            ""};
  RequestRecord Record;
  Record.Customer_ = Planned.Customer_;
  Record.Class_ = Planned.Class_;
  Record.HomeZone_ = Planned.HomeZone_;
  Record.Intended_ = Planned.When_;
  Record.Started_ = sinceStart();
  const auto Found =
      Lookups_.resolve(HomeZone, Context.Class_.Service_, Context.Customer_);
  if (Found && Context.Class_.HasIdempotencyKey_)
    Context.Operation_ =
        Found->Session_ + "." + std::to_string(Context.SequenceNumber_);
  Record.Operation_ = Context.Operation_;
  for (int Attempt = 1;
       Found && !Found->Vms_.empty() && Attempt <= Workload_.MaxAttempts_;
       ++Attempt) {
    const std::size_t Choice =
        static_cast<std::size_t>(Attempt - 1) % Found->Vms_.size();
    submit(Context, Attempt, Found->Vms_[Choice], Record);
    if (!mayRetry(Context.Class_, Record.Attempts_.back()))
      break;
  }
  Record.Done_ = sinceStart();
  return Record;
}

OutgoingRequest RequestSender::buildRequest(const SubmissionContext &Context,
                                            int Attempt) const {
  OutgoingRequest Request;
  Request.Method_ = Context.Class_.Method_;
  Request.Target_ = "/s/" + Context.Class_.Service_ + Context.targetSuffix();
  Request.BodyBytes_ = Context.Class_.BodyBytes_;
  Request.BodySeed_ = Context.SequenceNumber_;
  Request.Timeout_ = DefaultTimeout;
  if (const FleetCustomer *Customer = findCustomer(Fleet_, Context.Customer_))
    Request.Headers_.push_back({"Authorization", "Bearer " + Customer->Key_});
  if (Context.Class_.Deadline_ > base::Duration::zero()) {
    const auto DeadlineMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Context.Class_.Deadline_);
    Request.Headers_.push_back(
        {"Ebony-Deadline-Ms", std::to_string(DeadlineMs.count())});
    Request.Timeout_ = Context.Class_.Deadline_ + TimeoutMargin;
  }
  if (!Context.Operation_.empty()) {
    Request.Headers_.push_back({"Idempotency-Key", Context.Operation_});
    Request.Headers_.push_back({"Ebony-Attempt", std::to_string(Attempt)});
  }
  return Request;
}

void RequestSender::submit(const SubmissionContext &Context, int Attempt,
                           const EntryVm &Vm, RequestRecord &Record) {
  const base::Duration OneWay =
      Fleet_.oneWayLatency(Context.HomeZone_, Vm.Zone_);
  std::this_thread::sleep_for(OneWay);
  if (Attempt == 1)
    Record.Sent_ = sinceStart();
  const IncomingAnswer Answer =
      Caller_.call(Vm.Endpoint_, buildRequest(Context, Attempt));
  Record.Answered_ = sinceStart();
  std::this_thread::sleep_for(OneWay);
  Record.Outcome_ = outcomeOf(Answer);
  Record.Attempts_.push_back(
      {Answer.RequestId_, Record.Outcome_, Answer.Status_});
  if (Record.Outcome_ != Outcome::Served)
    return;
  const EchoCheckResult CheckResult = checkEcho(
      Answer, {Context.Customer_, Context.targetSuffix(), Attempt == 1});
  Record.Mismatched_ = CheckResult == EchoCheckResult::Mismatched;
  Record.Truncated_ = CheckResult == EchoCheckResult::Truncated;
}

bool RequestSender::mayRetry(const RequestClass &Class,
                             const AttemptRecord &Last) {
  const bool IsIdempotent = Class.Method_ == "GET" || Class.Method_ == "PUT" ||
                            Class.Method_ == "DELETE";
  switch (Last.Outcome_) {
  case Outcome::NoVm:
    return true;
  case Outcome::NotRun:
    return Last.Status_ >= ServiceUnavailable;
  case Outcome::Unknown:
    return IsIdempotent || Class.HasIdempotencyKey_;
  default:
    return false;
  }
}

} // namespace ebony::load
