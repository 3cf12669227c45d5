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
                       const Exchange &Seen) {
  AnswerMatcher Matcher(AwaitedRequest);
  if (Seen.Answered_.isEmpty())
    return Matcher.recordClosed();
  MatchState State = Matcher.receiveHead(Seen.Answered_, Seen.AnnouncedBytes_);
  if (State == MatchState::Incomplete)
    State = Matcher.receiveBody(Seen.Body_.size());
  return Seen.Closed_ ? Matcher.recordClosed() : State;
}

} // namespace

VmFake::VmFake(FleetFake &Fleet, const SubmissionOwner &Self)
    : Fleet_(Fleet),
      Store_(Self, Fleet.rates().StrangeKeys_ ? SmallLimits : RegistryLimits(),
             2, Fleet.events().now(), FleetFake::EpochSpan),
      Claims_(ClaimBatchLimits{2ms, 8, 2, 4}) {}

EventQueue::Event VmFake::guard(const std::function<void()> &Work) {
  return [this, Work] {
    if (Alive_)
      Work();
  };
}

void VmFake::submit(const Job &Given) {
  ++Open_;
  Job One = Given;
  One.Done_ = [=, this](const Reply &Answer) {
    --Open_;
    Given.Done_(Answer);
  };
  act(One,
      Store_.decide(One.Request_, Fleet_.directory(), Fleet_.events().now()));
}

void VmFake::act(const Job &One, const SubmissionDecision &Decision) {
  switch (Decision.action()) {
  case Action::Run:
    return run(One, AttemptTracker(2));
  case Action::Claim:
    return claim(One, Decision.claimRow());
  case Action::Join:
    Joined_[One.Request_.key().text()].push_back(One);
    return;
  case Action::Replay:
    return One.Done_({Outcome::Complete, Reason::None,
                      Decision.answer()->body(), SubmissionOwner()});
  case Action::Forward:
    return pass({One, Decision.owner()});
  case Action::Answer:
    // While the hand-over is under way, its end decides who takes this one.
    if (Decision.reason() == Reason::HandoverInProgress &&
        Sender_.state() == HandoverSender::State::Offered)
      return Parked_.push_back(One);
    return One.Done_(
        {Decision.outcome(), Decision.reason(), "", Decision.owner()});
  }
}

void VmFake::run(const Job &One, AttemptTracker Tracker) {
  if (!Tracker.canAttempt())
    return ended(One, Tracker.outcome(), nullptr);
  Tracker.beginAttempt();
  const base::RequestId Id(self().address().text() + "/" +
                           std::to_string(++NextRequest_));
  const auto Settled = std::make_shared<bool>(false);
  AttemptTracker Late = Tracker;
  Late.recordSent();
  Late.recordFailure();
  Fleet_.upstream().send(Id, One.Operation_, [=, this](const Exchange &Seen) {
    guard([=, this] {
      if (std::exchange(*Settled, true))
        return;
      AttemptTracker Now = Tracker;
      if (!Seen.Connected_) {
        Now.recordFailureBeforeSending();
        return run(One, Now);
      }
      Now.recordSent();
      if (Seen.Refused_) {
        Now.recordRefusal();
        return run(One, Now);
      }
      if (matchAnswer(Id, Seen) != MatchState::Complete) {
        Now.recordFailure();
        return run(One, Now);
      }
      Now.recordCompleteAnswer();
      ended(One, Now.outcome(),
            StoredAnswerPtr(new StoredAnswer(200, "text/plain", Seen.Body_)));
    })();
  });
  Fleet_.events().after(UpstreamTimeout, guard([=, this] {
                          if (!std::exchange(*Settled, true))
                            run(One, Late);
                        }));
}

void VmFake::ended(const Job &One, Outcome End, const StoredAnswerPtr &Answer) {
  const auto Notice = Store_.finishRun(One.Request_, End, Answer);
  if (Notice)
    Notices_.push_back(*Notice);
  const Reason Why =
      End == Outcome::Unknown ? Reason::RunOutcomeUnknown : Reason::None;
  One.Done_({End, Why, Answer ? Answer->body() : "", SubmissionOwner()});
  if (One.Request_.key().kind() == IdempotencyKey::Kind::None)
    return;
  for (const Job &Waiting :
       std::exchange(Joined_[One.Request_.key().text()], {}))
    submit(Waiting);
}

void VmFake::claim(const Job &One, const ClaimRow &Row) {
  const std::string RowKey = claimRowKey(One.Request_.customer().text(),
                                         One.Request_.key().callerText());
  Claiming_.insert_or_assign(RowKey, One);
  const base::TimePoint Now = Fleet_.events().now();
  Claims_.add({RowKey, Row, Now + ClaimDeadline}, Now);
  stepClaims();
}

void VmFake::stepClaims() {
  const base::TimePoint Now = Fleet_.events().now();
  while (const auto Call = Claims_.nextCall(Now))
    Fleet_.table().call(*Call, [=, this](const TableFake::Result &Seen) {
      guard([=, this] {
        const base::TimePoint Later = Fleet_.events().now();
        if (Seen.Lost_)
          Claims_.recordFailure(Call->Id_, Later);
        else if (Call->Kind_ == ClaimCall::Kind::ReadRow)
          Claims_.recordRead(Call->Id_, Seen.Row_, Later);
        else if (Seen.Conflicts_.empty())
          Claims_.recordCommitted(Call->Id_);
        else
          Claims_.recordConflicts(Call->Id_, Seen.Conflicts_, Later);
        stepClaims();
      })();
    });
  for (const ClaimResult &Result : Claims_.takeResults(Now)) {
    const Job One = Claiming_.at(Result.RowKey_);
    Claiming_.erase(Result.RowKey_);
    act(One,
        Store_.decideAfterClaim(One.Request_, Result, Fleet_.directory(), Now));
    // Copies that joined while the claim was asked for look again.
    for (const Job &Waiting :
         std::exchange(Joined_[One.Request_.key().text()], {}))
      submit(Waiting);
  }
  if (const auto Next = Claims_.nextWakeup())
    Fleet_.events().after(std::max<base::Duration>(*Next - Now, 1ms),
                          guard([this] { stepClaims(); }));
}

void VmFake::pass(const Passing &One) {
  const Job &Work = One.Job_;
  if (One.Left_ == 0) {
    const bool NotRun = !One.Sent_ && Work.Request_.attempt().isFirst();
    return Work.Done_({NotRun ? Outcome::NotRun : Outcome::Unknown,
                       Reason::OwnerGone, "", SubmissionOwner()});
  }
  Passing Again = One;
  --Again.Left_;
  const auto Broken = guard([=, this]() mutable {
    Again.Sent_ = true;
    pass(Again);
  });
  const auto Failed = guard([=, this] { pass(Again); });
  Job Relayed = Work;
  Relayed.Request_ = Work.Request_.asRelayed(One.Sent_);
  Relayed.Done_ = [=, this](const Reply &Answer) {
    guard([=, this]() mutable {
      if (Answer.Hint_ == SubmissionOwner())
        return Work.Done_(Answer);
      // The hint's VM may have accepted the memory since; it was not asked yet.
      Again.Owner_ = Answer.Hint_;
      pass(Again);
    })();
  };
  Fleet_.deliver(One.Owner_.address(), Relayed, Broken, Failed);
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
  for (const Job &One : std::exchange(Parked_, {}))
    submit(One);
}

void VmFake::offerHandover(int AttemptsLeft) {
  const bool Accepted = Sender_.state() == HandoverSender::State::Accepted;
  // Any peer would do; the sender refuses those that could run twice.
  const SubmissionOwner Candidate = Fleet_.peerOf(self());
  const bool IsFree = AttemptsLeft > 0 && Sender_.tryOffer(Candidate);
  if (IsFree)
    Offer_.To_ = Candidate;
  if (Accepted)
    for (const CompletionNotice &Notice : std::exchange(Notices_, {}))
      Fleet_.notify(Offer_.To_, Notice);
  else if (AttemptsLeft > 0 && (IsFree || Sender_.tryOffer(Offer_.To_)))
    Fleet_.handOver(
        Offer_,
        [this](HandoverReply Reply) {
          guard([=, this] { handleHandoverReply(Reply); })();
        },
        guard([this] { Sender_.recordNotSent(); }));
  if (!Accepted && AttemptsLeft == 0)
    for (const Job &One : std::exchange(Parked_, {}))
      One.Done_({One.Request_.attempt().isFirst() ? Outcome::NotRun
                                                  : Outcome::Unknown,
                 Reason::HandoverInProgress, "", SubmissionOwner()});
  // The stopping VM goes on passing until its peers know the successor.
  if (Accepted || AttemptsLeft == 0)
    Fleet_.events().after(150ms, guard([this] { Closing_ = true; }));
  if (Closing_ && Open_ == 0 && Notices_.empty())
    return Fleet_.replace(self());
  Fleet_.events().after(
      50ms, guard([=, this] { offerHandover(std::max(AttemptsLeft - 1, 0)); }));
}

} // namespace ebony::tests
