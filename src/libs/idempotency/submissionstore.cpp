#include "idempotency/submissionstore.h"

#include <algorithm>
#include <utility>

namespace ebony::idempotency {

SubmissionStore::SubmissionStore(SubmissionOwner Self,
                                 const RegistryLimits &Limits,
                                 std::size_t Shards, base::TimePoint Start,
                                 base::Duration EpochSpan)
    : Self_(std::move(Self)), EpochSpan_(EpochSpan) {
  for (std::size_t Index = 0; Index < Shards; ++Index)
    Shards_.push_back(
        std::make_unique<Shard>(Self_, Limits, Index + 1, Shards));
  OwnerWindows_.push_back({Self_, FirstUseWindow::running(Start, EpochSpan)});
}

SessionEpoch SubmissionStore::epoch(base::TimePoint Now) const {
  const std::shared_lock Lock(OwnersMutex_);
  return OwnerWindows_.front().Window_.currentEpoch(SealedAt_.value_or(Now));
}

SubmissionDecision SubmissionStore::decide(const Submission &Request,
                                           const HolderDirectory &Directory,
                                           base::TimePoint Now) {
  if (Request.key().kind() == IdempotencyKey::Kind::None)
    return SubmissionDecision::run();
  Shard &Target = shardOf(SessionId(Request));
  if (Request.key().kind() == IdempotencyKey::Kind::Session) {
    const SubmissionOwner &Owner = Request.key().session().owner();
    const auto Window = windowOf(Owner);
    if (!Window)
      return decideForOtherOwner(Request, Owner, Directory);
    const std::lock_guard Lock(Target.Mutex_);
    return redirectToSuccessor(
        Request, Target.Registry_.decideInSession(Request, *Window, Now));
  }
  const auto &Owner = Request.claimedBy();
  if (Owner && !windowOf(*Owner))
    return decideForOtherOwner(Request, *Owner, Directory);
  const std::lock_guard Lock(Target.Mutex_);
  return redirectToSuccessor(Request, Target.Registry_.decideWithCallerKey(
                                          Request, Owner.has_value(), Now));
}

SubmissionDecision SubmissionStore::decideAfterClaim(
    const Submission &Request, const ClaimResult &Result,
    const HolderDirectory &Directory, base::TimePoint Now) {
  Shard &Target = shardOf(SessionId(Request));
  if (!Result.Row_) {
    const std::lock_guard Lock(Target.Mutex_);
    return Target.Registry_.decideUnresolvedClaim(Request);
  }
  const SubmissionOwner &Owner = Result.Row_->owner();
  if (windowOf(Owner)) {
    const std::lock_guard Lock(Target.Mutex_);
    return redirectToSuccessor(
        Request, Target.Registry_.decideClaimOwnedHere(Request, *Result.Row_));
  }
  {
    const std::lock_guard Lock(Target.Mutex_);
    Target.Registry_.dropLostClaim(Request);
  }
  return decide(Request.withClaimOwner(Owner), Directory, Now);
}

std::optional<CompletionNotice>
SubmissionStore::finishRun(const Submission &Request, Outcome RunOutcome,
                           StoredAnswerPtr Answer) {
  const SessionId Id(Request);
  Shard &Target = shardOf(Id);
  const std::lock_guard Lock(Target.Mutex_);
  const auto Entry =
      Target.Registry_.finishRun(Request, RunOutcome, std::move(Answer));
  if (!Entry)
    return std::nullopt;
  return CompletionNotice{Self_, Id, *Entry};
}

Handover SubmissionStore::seal(const SubmissionOwner &Successor,
                               base::TimePoint Now) {
  Handover Offer{Self_, Successor, {}, {}};
  // The lock ensures that the handover of a predecessor is either completely
  // part of the snapshot or rejected.
  const std::lock_guard HandoverLock(HandoverMutex_);
  {
    const std::unique_lock Lock(OwnersMutex_);
    SealedAt_ = Now;
    for (const OwnerWindow &Owned : OwnerWindows_)
      Offer.Owners_.push_back({Owned.Owner_, Owned.Window_.currentEpoch(Now),
                               Owned.Window_.isOpen(Now)});
  }
  for (const auto &Target : Shards_) {
    const std::lock_guard Lock(Target->Mutex_);
    auto Sessions = Target->Registry_.seal();
    std::move(Sessions.begin(), Sessions.end(),
              std::back_inserter(Offer.Sessions_));
  }
  return Offer;
}

void SubmissionStore::recordSuccessor(const SubmissionOwner &Successor) {
  const std::unique_lock Lock(OwnersMutex_);
  Successor_ = Successor;
}

// A second copy of an accepted offer has no effect. Importing it would discard
// the submissions that have run here since.
HandoverReply SubmissionStore::acceptHandover(const Handover &Offer,
                                              base::TimePoint Now) {
  if (Offer.To_ != Self_)
    return HandoverReply::NotAddressee;
  const std::lock_guard HandoverLock(HandoverMutex_);
  if (windowOf(Offer.From_))
    return HandoverReply::Accepted;
  if (SealedAt_)
    return HandoverReply::Stopping;
  for (const SessionSnapshot &Session : Offer.Sessions_) {
    Shard &Target = shardOf(Session.Id_);
    const std::lock_guard Lock(Target.Mutex_);
    Target.Registry_.importSession(Session, Now + EpochSpan_);
  }
  const std::unique_lock Lock(OwnersMutex_);
  for (const OwnerSnapshot &Owner : Offer.Owners_)
    OwnerWindows_.push_back(
        {Owner.Owner_,
         Owner.AcceptsFirstUses_
             ? FirstUseWindow::inherited(Owner.LatestEpoch_, Now, EpochSpan_)
             : FirstUseWindow::closed(Owner.LatestEpoch_)});
  return HandoverReply::Accepted;
}

void SubmissionStore::applyCompletion(const CompletionNotice &Notice) {
  if (!windowOf(Notice.From_))
    return;
  Shard &Target = shardOf(Notice.Id_);
  const std::lock_guard Lock(Target.Mutex_);
  Target.Registry_.applyCompletion(Notice.Id_, Notice.Entry_);
}

std::size_t SubmissionStore::sessionCount() const {
  std::size_t Sum = 0;
  for (const auto &Target : Shards_) {
    const std::lock_guard Lock(Target->Mutex_);
    Sum += Target->Registry_.sessionCount();
  }
  return Sum;
}

SubmissionStore::Shard &SubmissionStore::shardOf(const SessionId &Id) const {
  return *Shards_[Id.hash() % Shards_.size()];
}

std::optional<FirstUseWindow>
SubmissionStore::windowOf(const SubmissionOwner &Owner) const {
  const std::shared_lock Lock(OwnersMutex_);
  const auto Found = std::find_if(
      OwnerWindows_.begin(), OwnerWindows_.end(),
      [&](const OwnerWindow &Owned) { return Owned.Owner_ == Owner; });
  if (Found == OwnerWindows_.end())
    return std::nullopt;
  return Found->Window_;
}

// A submission that another VM forwarded here is not forwarded again.
SubmissionDecision
SubmissionStore::decideForOtherOwner(const Submission &Request,
                                     const SubmissionOwner &Owner,
                                     const HolderDirectory &Directory) const {
  const auto Target = Directory.locate(Owner);
  const Outcome Result =
      Request.mark().isFirst() ? Outcome::NotRun : Outcome::Unknown;
  if (!Target)
    return SubmissionDecision::answer(Result, Reason::OwnerGone);
  if (Request.source() == SubmissionSource::FromCaller && *Target != Self_)
    return SubmissionDecision::forward(*Target);
  const auto Answer = SubmissionDecision::answer(Result, Reason::NotOwner);
  return *Target == Owner ? Answer : Answer.withOwner(*Target);
}

SubmissionDecision
SubmissionStore::redirectToSuccessor(const Submission &Request,
                                     SubmissionDecision Decision) const {
  if (Decision.reason() != Reason::HandoverInProgress)
    return Decision;
  const std::shared_lock Lock(OwnersMutex_);
  if (!Successor_)
    return Decision;
  if (Request.source() == SubmissionSource::FromCaller)
    return SubmissionDecision::forward(*Successor_);
  return Decision.withOwner(*Successor_);
}

} // namespace ebony::idempotency
