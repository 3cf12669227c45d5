#include "configagent/configagent.h"

#include <algorithm>

namespace ebony::configagent {

ConfigAgent::ConfigAgent(base::VmIdentity Self, AgentSettings Settings,
                         trust::FreshnessTracker &Freshness,
                         config::ConfigObserver &Observer)
    : Self_(std::move(Self)), Settings_(Settings), Freshness_(Freshness),
      Observer_(Observer), Replica_(Settings.LoggedChanges_, *this),
      Follower_(Replica_, Settings.Follower_), Intents_(Self_) {}

// A commit goes before polls. The intent was noted before the others were
// told, so no promise since then covers it.
std::optional<config::StoreRequest>
ConfigAgent::storeRequest(base::TimePoint Now) {
  Committing_ = false;
  if (Proposal_ && Proposal_->isTold()) {
    auto Request = Proposal_->committer().nextRequest();
    Committing_ = Request.has_value();
    if (Committing_)
      return Request;
  }
  return Follower_.nextRequest(Now);
}

void ConfigAgent::takeStoreReply(const config::TableReply &Reply) {
  TableFailed_ = Reply.Outcome_ == config::TableOutcome::Unavailable ||
                 Reply.Outcome_ == config::TableOutcome::Unknown;
  if (Committing_) {
    takeCommitReply(Reply);
    return;
  }
  Follower_.handle(Reply);
  afterApply();
  if (!Follower_.evidence())
    return;
  Freshness_.addEvidence(*Follower_.evidence());
  TableHeard_ = Follower_.evidence()->AsOf_;
  Ready_ = true;
}

void ConfigAgent::takeCommitReply(const config::TableReply &Reply) {
  if (!Proposal_)
    return;
  Proposal_->committer().handle(Reply);
  if (Proposal_->committer().outcome())
    Follower_.pollNow();
}

bool ConfigAgent::isWithoutTable(base::TimePoint Now) const {
  return !TableHeard_ || Now - *TableHeard_ > Settings_.TablePatience_;
}

PullRequest ConfigAgent::pullRequest(base::TimePoint Now) const {
  return {Self_, Replica_.revision(), isWithoutTable(Now)};
}

PullReply ConfigAgent::answer(const PullRequest &Request, base::TimePoint Now) {
  if (Request.Applied_ > Replica_.revision())
    Follower_.pollNow();
  if (Request.From_.zone() == Self_.zone())
    Progress_.note({Request.From_, Request.Applied_}, Now);
  Progress_.note({Self_, Replica_.revision()}, Now);
  PullReply Reply;
  Reply.From_ = Self_;
  Reply.Applied_ = Replica_.revision();
  Reply.Ready_ = Ready_;
  Reply.Progress_ = Progress_.present(Now);
  auto Changes =
      Replica_.changesAfter(Request.Applied_, Settings_.ChangesPerPull_);
  Reply.NeedsSnapshot_ = !Changes;
  if (Changes)
    Reply.Changes_ = std::move(*Changes);
  if (const auto Evidence = Freshness_.evidence())
    Reply.Evidence_ = AgedEvidence::of(*Evidence, Now);
  if (Request.WantsPromises_) {
    noteOwnPromise(Now);
    for (const trust::WriterPromise &One : Ledger_.promises())
      Reply.Promises_.push_back(AgedPromise::of(One, Now));
  }
  return Reply;
}

void ConfigAgent::take(const PullReply &Reply, base::TimePoint AskedAt) {
  for (const config::ChangeSet &Change : Reply.Changes_)
    Replica_.apply(Change);
  NeedsSnapshot_ = Reply.NeedsSnapshot_ && Reply.Applied_ > Replica_.revision();
  afterApply();
  PeerReady_ = PeerReady_ || Reply.Ready_;
  PeerHighest_ = std::max(PeerHighest_, Reply.Applied_);
  if (Reply.Evidence_)
    Freshness_.addEvidence(Reply.Evidence_->asOf(AskedAt));
  for (const AgedPromise &One : Reply.Promises_)
    Ledger_.recordPromise(One.asOf(AskedAt));
  noteOwnPromise(AskedAt);
  joinPromises();
}

void ConfigAgent::endPullRound() {
  Ready_ = Ready_ ||
           (TableFailed_ && PeerReady_ && Replica_.revision() >= PeerHighest_);
}

SnapshotPage ConfigAgent::answer(const SnapshotPageRequest &Request,
                                 base::TimePoint Now) {
  return Pager_.answer(Request, Replica_.records(), Now);
}

void ConfigAgent::install(const config::RecordSet &Records) {
  Replica_.install(Records);
  NeedsSnapshot_ = false;
  afterApply();
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
  Intents_.recordIntent(Request.Base_, Now);
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
    Proposal_->committer().noteApplied(Change);
}

void ConfigAgent::onSnapshot(const config::RecordSet &Records) {
  Observer_.onSnapshot(Records);
  Roster_ = trust::WriterRoster::fromRecords(Records);
}

// The observer has been told by now: only then may evidence for the new
// revision let keys through.
void ConfigAgent::afterApply() {
  Ledger_.eraseNonMembers(Roster_);
  Intents_.recordApplied(Replica_.revision());
  Freshness_.recordApplied(Replica_.revision());
}

void ConfigAgent::noteOwnPromise(base::TimePoint Now) {
  if (Roster_.contains(Self_))
    Ledger_.recordPromise(Intents_.promise(Now));
}

void ConfigAgent::joinPromises() {
  if (const auto Joined = Ledger_.evidence(Roster_))
    Freshness_.addEvidence(*Joined);
}

} // namespace ebony::configagent
