#include "configagent/configagent.h"

#include <algorithm>

namespace ebony::configagent {

ConfigAgent::ConfigAgent(base::VmIdentity Self, AgentSettings Settings,
                         trust::FreshnessTracker &Freshness,
                         config::ConfigObserver &Observer)
    : Self_(std::move(Self)), Settings_(Settings), Freshness_(Freshness),
      Observer_(Observer), Replica_(Settings.LoggedChanges_, *this),
      Follower_(Replica_, Settings.Follower_), Intents_(Self_) {}

// A commit has priority over polls. The intent was recorded before the other
// members were notified, so no promise made since then covers the commit.
std::optional<config::StoreRequest>
ConfigAgent::nextStoreRequest(base::TimePoint Now) {
  Committing_ = false;
  if (Proposal_ && Proposal_->isAnnounced()) {
    auto Request = Proposal_->committer().nextRequest();
    Committing_ = Request.has_value();
    if (Committing_)
      return Request;
  }
  return Follower_.nextRequest(Now);
}

void ConfigAgent::handleStoreReply(const config::TableReply &Reply) {
  TableFailed_ = Reply.Outcome_ == config::TableOutcome::Unavailable ||
                 Reply.Outcome_ == config::TableOutcome::Unknown;
  if (Committing_) {
    handleCommitReply(Reply);
    return;
  }
  Follower_.handle(Reply);
  publishAppliedRevision();
  if (!Follower_.evidence())
    return;
  Freshness_.addEvidence(*Follower_.evidence());
  LastTableEvidence_ = Follower_.evidence()->AsOf_;
  Ready_ = true;
}

void ConfigAgent::handleCommitReply(const config::TableReply &Reply) {
  if (!Proposal_)
    return;
  Proposal_->committer().handle(Reply);
  if (Proposal_->committer().outcome())
    Follower_.pollNow();
}

bool ConfigAgent::isTableUnreachable(base::TimePoint Now) const {
  return !LastTableEvidence_ ||
         Now - *LastTableEvidence_ > Settings_.TableTimeout_;
}

PullRequest ConfigAgent::pullRequest(base::TimePoint Now) const {
  return {Self_, Replica_.revision(), isTableUnreachable(Now)};
}

PullReply ConfigAgent::answer(const PullRequest &Request, base::TimePoint Now) {
  if (Request.Applied_ > Replica_.revision())
    Follower_.pollNow();
  if (Request.Sender_.zone() == Self_.zone())
    Progress_.record({Request.Sender_, Request.Applied_}, Now);
  Progress_.record({Self_, Replica_.revision()}, Now);
  PullReply Reply;
  Reply.Sender_ = Self_;
  Reply.Applied_ = Replica_.revision();
  Reply.Ready_ = Ready_;
  Reply.Progress_ = Progress_.recentMembers(Now);
  auto Changes =
      Replica_.changesAfter(Request.Applied_, Settings_.ChangesPerPull_);
  Reply.NeedsSnapshot_ = !Changes;
  if (Changes)
    Reply.Changes_ = std::move(*Changes);
  if (const auto Evidence = Freshness_.evidence())
    Reply.Evidence_ = AgedEvidence::fromSenderClock(*Evidence, Now);
  if (Request.WantsPromises_) {
    recordOwnPromise(Now);
    for (const trust::WriterPromise &Promise : Ledger_.promises())
      Reply.Promises_.push_back(AgedPromise::fromSenderClock(Promise, Now));
  }
  return Reply;
}

void ConfigAgent::applyPullReply(const PullReply &Reply,
                                 base::TimePoint RequestSentAt) {
  for (const config::ChangeSet &Change : Reply.Changes_)
    Replica_.apply(Change);
  NeedsSnapshot_ = Reply.NeedsSnapshot_ && Reply.Applied_ > Replica_.revision();
  publishAppliedRevision();
  PeerReady_ = PeerReady_ || Reply.Ready_;
  HighestPeerRevision_ = std::max(HighestPeerRevision_, Reply.Applied_);
  if (Reply.Evidence_)
    Freshness_.addEvidence(Reply.Evidence_->toReceiverClock(RequestSentAt));
  for (const AgedPromise &Promise : Reply.Promises_)
    Ledger_.recordPromise(Promise.toReceiverClock(RequestSentAt));
  recordOwnPromise(RequestSentAt);
  combinePromises();
}

void ConfigAgent::completePullRound() {
  Ready_ = Ready_ || (TableFailed_ && PeerReady_ &&
                      Replica_.revision() >= HighestPeerRevision_);
}

SnapshotPage ConfigAgent::answer(const SnapshotPageRequest &Request,
                                 base::TimePoint Now) {
  return Pager_.answer(Request, Replica_.records(), Now);
}

void ConfigAgent::install(const config::RecordSet &Records) {
  Replica_.install(Records);
  NeedsSnapshot_ = false;
  publishAppliedRevision();
}

base::Checked<config::Revision>
ConfigAgent::propose(const config::OperationId &Operation,
                     std::vector<config::RecordChange> Changes,
                     base::TimePoint Now) {
  if (Proposal_)
    return base::Findings{{"agent", "",
                           "Another change is being committed by this VM; "
                           "send the change again in a second."}};
  if (!Ready_)
    return base::Findings{{"agent", "",
                           "This VM is still reading the configuration; send "
                           "the change again in a second."}};
  const config::Revision Base = Replica_.revision();
  Intents_.recordIntent(Base, Now);
  Proposal_.emplace(config::ChangeSet{Base + 1, Operation, std::move(Changes)},
                    Roster_, Self_);
  return Base;
}

IntentReply ConfigAgent::answer(const IntentRequest &Request,
                                base::TimePoint Now) {
  Intents_.recordIntent(Request.BaseRevision_, Now);
  return {Self_};
}

std::optional<config::RecordChange>
ConfigAgent::joinChange(std::size_t PerZone) const {
  std::size_t InZone = 0;
  for (const base::VmIdentity &Member : Roster_.members()) {
    if (Member == Self_)
      return std::nullopt;
    if (Member.address() == Self_.address())
      return trust::WriterRoster::add(Self_);
    InZone += Member.zone() == Self_.zone() ? 1 : 0;
  }
  if (InZone >= PerZone)
    return std::nullopt;
  return trust::WriterRoster::add(Self_);
}

void ConfigAgent::onChange(const config::ChangeSet &Change,
                           const config::RecordSet &Records) {
  Observer_.onChange(Change, Records);
  if (trust::WriterRoster::isChangedBy(Change))
    Roster_ = trust::WriterRoster::fromRecords(Records);
  if (Proposal_)
    Proposal_->committer().recordApplied(Change);
}

void ConfigAgent::onSnapshot(const config::RecordSet &Records) {
  Observer_.onSnapshot(Records);
  Roster_ = trust::WriterRoster::fromRecords(Records);
}

// Called after the observer was notified: only then may evidence for the new
// revision allow keys to be accepted.
void ConfigAgent::publishAppliedRevision() {
  Ledger_.eraseNonMembers(Roster_);
  Intents_.recordApplied(Replica_.revision());
  Freshness_.recordApplied(Replica_.revision());
}

void ConfigAgent::recordOwnPromise(base::TimePoint Now) {
  if (Roster_.contains(Self_))
    Ledger_.recordPromise(Intents_.promise(Now));
}

void ConfigAgent::combinePromises() {
  if (const auto Joined = Ledger_.evidence(Roster_))
    Freshness_.addEvidence(*Joined);
}

} // namespace ebony::configagent
