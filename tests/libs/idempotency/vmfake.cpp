#include "libs/idempotency/vmfake.h"

#include "idempotency/answermatcher.h"
#include "libs/idempotency/fleetfake.h"

#include <memory>
#include <utility>

namespace ebony::tests {

using namespace idempotency;
using namespace std::chrono_literals;
using Action = SubmissionDecision::Action;
using MatchState = AnswerMatcher::MatchState;

namespace {

constexpr base::Duration UpstreamTimeout = 300ms;
constexpr base::Duration ClaimDeadline = 150ms;
constexpr RegistryLimits SmallLimits = {4, 3, 64, 200};

MatchState matchAnswer(const base::RequestId &AwaitedRequest,
                       const Exchange &Received) {
  AnswerMatcher Matcher(AwaitedRequest);
  if (Received.Answered_.isEmpty())
    return Matcher.recordClosed();
  MatchState State =
      Matcher.receiveHead(Received.Answered_, Received.AnnouncedBytes_);
  if (State == MatchState::Incomplete)
    State = Matcher.receiveBody(Received.Body_.size());
  return Received.Closed_ ? Matcher.recordClosed() : State;
}

} // namespace

VmFake::VmFake(FleetFake &Fleet, const SubmissionOwner &Self)
    : Fleet_(Fleet),
      Store_(Self, Fleet.rates().UnusualKeys_ ? SmallLimits : RegistryLimits(),
             2, Fleet.events().now(), FleetFake::EpochSpan),
      Claims_(ClaimBatchLimits{2ms, 8, 2, 4}) {}

EventQueue::Event VmFake::ifAlive(const std::function<void()> &Callback) {
  return [this, Callback] {
    if (IsAlive_)
      Callback();
  };
}

void VmFake::submit(const SubmissionTask &Original) {
  ++OpenSubmissions_;
  SubmissionTask Task = Original;
  Task.Done_ = [=, this](const Reply &Answer) {
    --OpenSubmissions_;
    Original.Done_(Answer);
  };
  applyDecision(Task, Store_.decide(Task.Request_, Fleet_.directory(),
                                    Fleet_.events().now()));
}

void VmFake::applyDecision(const SubmissionTask &Task,
                           const SubmissionDecision &Decision) {
  switch (Decision.action()) {
  case Action::Run:
    return run(Task, AttemptTracker(2));
  case Action::Claim:
    return claim(Task, Decision.claimRow());
  case Action::Join:
    Joined_[Task.Request_.key().text()].push_back(Task);
    return;
  case Action::Replay:
    return Task.Done_({Outcome::Complete, Reason::None,
                       Decision.answer()->body(), SubmissionOwner()});
  case Action::Forward:
    return forward({Task, Decision.owner()});
  case Action::Answer:
    // A submission that is received during a handover is deferred until it is
    // known which VM owns it.
    if (Decision.reason() == Reason::HandoverInProgress &&
        Sender_.state() == HandoverSender::State::Offered)
      return Deferred_.push_back(Task);
    return Task.Done_(
        {Decision.outcome(), Decision.reason(), "", Decision.owner()});
  }
}

void VmFake::run(const SubmissionTask &Task, AttemptTracker Tracker) {
  if (!Tracker.canAttempt())
    return finishRun(Task, Tracker.outcome(), nullptr);
  Tracker.beginAttempt();
  const base::RequestId Id(self().address().text() + "/" +
                           std::to_string(++NextRequest_));
  const auto Finished = std::make_shared<bool>(false);
  AttemptTracker TimedOut = Tracker;
  TimedOut.recordSent();
  TimedOut.recordFailure();
  Fleet_.upstream().send(
      Id, Task.Operation_, [=, this](const Exchange &Received) {
        ifAlive([=, this] {
          if (std::exchange(*Finished, true))
            return;
          AttemptTracker Now = Tracker;
          if (!Received.Connected_) {
            Now.recordFailureBeforeSending();
            return run(Task, Now);
          }
          Now.recordSent();
          if (Received.Refused_) {
            Now.recordRefusal();
            return run(Task, Now);
          }
          if (matchAnswer(Id, Received) != MatchState::Complete) {
            Now.recordFailure();
            return run(Task, Now);
          }
          Now.recordCompleteAnswer();
          finishRun(Task, Now.outcome(),
                    StoredAnswerPtr(
                        new StoredAnswer(200, "text/plain", Received.Body_)));
        })();
      });
  Fleet_.events().after(UpstreamTimeout, ifAlive([=, this] {
                          if (!std::exchange(*Finished, true))
                            run(Task, TimedOut);
                        }));
}

void VmFake::finishRun(const SubmissionTask &Task, Outcome Result,
                       const StoredAnswerPtr &Answer) {
  const auto Notice = Store_.finishRun(Task.Request_, Result, Answer);
  if (Notice)
    CompletionNotices_.push_back(*Notice);
  const Reason Cause =
      Result == Outcome::Unknown ? Reason::RunOutcomeUnknown : Reason::None;
  Task.Done_({Result, Cause, Answer ? Answer->body() : "", SubmissionOwner()});
  if (Task.Request_.key().kind() == IdempotencyKey::Kind::None)
    return;
  for (const SubmissionTask &Waiting :
       std::exchange(Joined_[Task.Request_.key().text()], {}))
    submit(Waiting);
}

void VmFake::claim(const SubmissionTask &Task, const ClaimRow &Row) {
  const std::string RowKey = claimRowKey(Task.Request_.customer().text(),
                                         Task.Request_.key().callerText());
  AwaitingClaim_.insert_or_assign(RowKey, Task);
  const base::TimePoint Now = Fleet_.events().now();
  Claims_.add({RowKey, Row, Now + ClaimDeadline}, Now);
  advanceClaims();
}

void VmFake::advanceClaims() {
  const base::TimePoint Now = Fleet_.events().now();
  while (const auto Call = Claims_.nextCall(Now))
    Fleet_.table().call(*Call, [=, this](const TableFake::Result &Received) {
      ifAlive([=, this] {
        const base::TimePoint ReceivedAt = Fleet_.events().now();
        if (Received.IsLost_)
          Claims_.recordFailure(Call->Id_, ReceivedAt);
        else if (Call->Kind_ == ClaimCall::Kind::ReadRow)
          Claims_.recordRead(Call->Id_, Received.Row_, ReceivedAt);
        else if (Received.Conflicts_.empty())
          Claims_.recordCommitted(Call->Id_);
        else
          Claims_.recordConflicts(Call->Id_, Received.Conflicts_, ReceivedAt);
        advanceClaims();
      })();
    });
  for (const ClaimResult &Result : Claims_.takeResults(Now)) {
    const SubmissionTask Task = AwaitingClaim_.at(Result.RowKey_);
    AwaitingClaim_.erase(Result.RowKey_);
    applyDecision(Task, Store_.decideAfterClaim(Task.Request_, Result,
                                                Fleet_.directory(), Now));
    // Copies that joined while the claim was pending are decided again.
    for (const SubmissionTask &Waiting :
         std::exchange(Joined_[Task.Request_.key().text()], {}))
      submit(Waiting);
  }
  if (const auto Next = Claims_.nextWakeup())
    Fleet_.events().after(std::max<base::Duration>(*Next - Now, 1ms),
                          ifAlive([this] { advanceClaims(); }));
}

void VmFake::forward(const Forwarding &Current) {
  const SubmissionTask &Task = Current.Task_;
  if (Current.AttemptsLeft_ == 0) {
    const bool NotRun = !Current.Sent_ && Task.Request_.mark().isFirst();
    return Task.Done_({NotRun ? Outcome::NotRun : Outcome::Unknown,
                       Reason::OwnerGone, "", SubmissionOwner()});
  }
  Forwarding Next = Current;
  --Next.AttemptsLeft_;
  const auto Broken = ifAlive([=, this]() mutable {
    Next.Sent_ = true;
    forward(Next);
  });
  const auto Failed = ifAlive([=, this] { forward(Next); });
  SubmissionTask Relay = Task;
  Relay.Request_ = Task.Request_.asRelayed(Current.Sent_);
  Relay.Done_ = [=, this](const Reply &Answer) {
    ifAlive([=, this]() mutable {
      if (Answer.CurrentOwner_ == SubmissionOwner())
        return Task.Done_(Answer);
      // The VM in the reply may have accepted the registry since, and has not
      // been asked yet.
      Next.Owner_ = Answer.CurrentOwner_;
      forward(Next);
    })();
  };
  Fleet_.deliverSubmission(Current.Owner_.address(), Relay, Broken, Failed);
}

void VmFake::stop(const SubmissionOwner &Successor) {
  if (Stopped_)
    return;
  Stopped_ = Fleet_.events().now();
  Offer_ = Store_.seal(Successor, *Stopped_);
  offerHandover(4);
}

void VmFake::handleHandoverReply(HandoverReply Reply) {
  Sender_.recordReply(Reply);
  if (Sender_.state() != HandoverSender::State::Accepted)
    return;
  Store_.recordSuccessor(Offer_.To_);
  for (const SubmissionTask &Task : std::exchange(Deferred_, {}))
    submit(Task);
}

void VmFake::offerHandover(int AttemptsLeft) {
  const bool Accepted = Sender_.state() == HandoverSender::State::Accepted;
  // Offers to a random peer. The sender refuses a peer if another one may
  // already have accepted, because submissions could then run twice.
  const SubmissionOwner Candidate = Fleet_.peerOf(self());
  const bool CanOffer = AttemptsLeft > 0 && Sender_.tryOffer(Candidate);
  if (CanOffer)
    Offer_.To_ = Candidate;
  if (Accepted)
    for (const CompletionNotice &Notice : std::exchange(CompletionNotices_, {}))
      Fleet_.deliverCompletion(Offer_.To_, Notice);
  else if (AttemptsLeft > 0 && (CanOffer || Sender_.tryOffer(Offer_.To_)))
    Fleet_.handOver(
        Offer_,
        [this](HandoverReply Reply) {
          ifAlive([=, this] { handleHandoverReply(Reply); })();
        },
        ifAlive([this] { Sender_.recordNotSent(); }));
  if (!Accepted && AttemptsLeft == 0)
    for (const SubmissionTask &Task : std::exchange(Deferred_, {}))
      Task.Done_(
          {Task.Request_.mark().isFirst() ? Outcome::NotRun : Outcome::Unknown,
           Reason::HandoverInProgress, "", SubmissionOwner()});
  // The stopping VM keeps forwarding until its peers know the successor.
  if (Accepted || AttemptsLeft == 0)
    Fleet_.events().after(150ms, ifAlive([this] { IsClosing_ = true; }));
  if (IsClosing_ && OpenSubmissions_ == 0 && CompletionNotices_.empty())
    return Fleet_.replace(self());
  Fleet_.events().after(50ms, ifAlive([=, this] {
                          offerHandover(std::max(AttemptsLeft - 1, 0));
                        }));
}

} // namespace ebony::tests
