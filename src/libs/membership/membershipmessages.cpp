#include "membership/membership.h"

#include <algorithm>

namespace ebony::membership {

namespace {

bool containsContent(const std::vector<DigestAge> &KnownDigests,
                     const DigestAge &Digest) {
  return std::any_of(KnownDigests.begin(), KnownDigests.end(),
                     [&](const DigestAge &Known) {
                       return Known.Zone_ == Digest.Zone_ &&
                              Known.ContentId_ == Digest.ContentId_;
                     });
}

} // namespace

// A request may have been buffered for long. Only the echoed time of this VM's
// last reply shows when the sender was alive.
HeartbeatReply Membership::answer(base::TimePoint Now,
                                  const HeartbeatRequest &Request) {
  advanceTo(Now);
  const base::VmIdentity &Sender = Request.Status_.Vm_;
  if (!isOfOwnZone(Request.Status_))
    return answerOtherZone(Request);
  HeartbeatReply Reply{.Status_ = self(),
                       .RequestSequence_ = Request.Status_.Sequence_,
                       .Time_ = Now_};
  const base::Incarnation Known = Table_.incarnationAt(Sender.address());
  if (Sender.incarnation() < Known) {
    Reply.SupersededBy_ = Known;
    return Reply;
  }
  const bool KnowsThisVm =
      Request.KnownIncarnation_ == self().Vm_.incarnation();
  Table_.recordDirectHeartbeat(
      Request.Status_,
      KnowsThisVm ? Request.Echo_ : std::optional<ProcessTime>(), Now_);
  Table_.updateLiveness(Now_);
  const ZoneTree Tree = Table_.tree();
  const bool IsRelay = Tree.isRelay(self().Vm_.address());
  Reply.IsFull_ = !KnowsThisVm;
  Reply.RenewsReports_ = IsRelay;
  Reply.Version_ = Table_.version();
  Reply.Members_ =
      Table_.changedSince(Reply.IsFull_ ? 0 : Request.KnownVersion_, Now_);
  std::erase_if(Reply.Members_, [&](const MemberEntry &Member) {
    return Member.Status_.Vm_ == Sender;
  });
  if (Request.IsRelay_)
    Reply.RelayedHeartbeats_ =
        Table_.liveHeartbeats(Request.TreeId_ == Tree.id(), Now_);
  Reply.DigestVersion_ = Digests_.version();
  Reply.Digests_ = Digests_.changedSince(
      Reply.IsFull_ ? 0 : Request.KnownDigestVersion_, Now_);
  if (!IsRelay)
    Reply.Relays_ = Tree.relays();
  return Reply;
}

HeartbeatReply
Membership::answerOtherZone(const HeartbeatRequest &Request) const {
  HeartbeatReply Reply{.Status_ = self(),
                       .RequestSequence_ = Request.Status_.Sequence_,
                       .Time_ = Now_};
  Reply.Digests_ = Digests_.youngerThan(Request.KnownDigests_,
                                        Settings_.GossipInterval_, Now_);
  std::erase_if(Reply.Digests_, [&](const DigestEntry &Entry) {
    return Entry.Digest_.Zone_ == Request.Status_.Vm_.zone();
  });
  Reply.Digests_.push_back(ownDigest());
  std::erase_if(Reply.Digests_, [&](const DigestEntry &Entry) {
    const DigestAge Refresh{.Zone_ = Entry.Digest_.Zone_,
                            .Age_ = Entry.Age_,
                            .ContentId_ = Entry.Digest_.contentId()};
    const bool IsKnown = containsContent(Request.KnownDigests_, Refresh);
    if (IsKnown)
      Reply.RefreshedDigests_.push_back(Refresh);
    return IsKnown;
  });
  return Reply;
}

void Membership::applyReply(base::TimePoint Now, const base::VmAddress &Target,
                            const HeartbeatReply &Reply) {
  advanceTo(Now);
  const auto SentAt = Pulls_.recordReply(Target, Reply.RequestSequence_);
  if (!SentAt)
    return;
  if (!isOfOwnZone(Reply.Status_)) {
    applyOtherZoneReply(Reply, *SentAt);
    return;
  }
  IsSuperseded_ =
      IsSuperseded_ || Reply.SupersededBy_ > self().Vm_.incarnation();
  const base::VmIdentity &Vm = Reply.Status_.Vm_;
  if (IsSuperseded_ || Vm.address() != Target ||
      Vm.incarnation() < Table_.incarnationAt(Target))
    return;
  Table_.recordDirectHeartbeat(Reply.Status_, *SentAt, Now_);
  PeerSyncState &SyncState = SyncStates_[Target];
  if (Reply.IsFull_) {
    SyncState = PeerSyncState();
    SyncState.Incarnation_ = Vm.incarnation();
  }
  // An echo is evidence of life only while it is recent. If this pull carried
  // an old one, the next heartbeat is due at once.
  if (SentAt->runningAgeAt(Now_) + SyncState.ReceivedAt_.runningAgeAt(*SentAt) >
      2 * Settings_.HeartbeatInterval_)
    NextHeartbeat_ = Now;
  SyncState.Time_ = Reply.Time_;
  SyncState.ReceivedAt_ = Now_;
  applyMembers(Reply, *SentAt, SyncState);
  applyDigests(Reply, *SentAt, SyncState);
  RedirectRelays_ = Reply.Relays_;
  SyncState.Version_ = Reply.Version_;
  SyncState.DigestVersion_ = Reply.DigestVersion_;
  advanceTo(Now);
}

// Relays accept only heartbeats with their ages from each other, not reports of
// liveness: circular reports could keep a dead VM live, and the wrong decision
// of one relay with a bad network would spread to all.
void Membership::applyMembers(const HeartbeatReply &Reply,
                              const ProcessTime &SentAt,
                              PeerSyncState &SyncState) {
  for (const MemberEntry &Entry : Reply.Members_) {
    const base::VmIdentity &Vm = Entry.Status_.Vm_;
    if (Vm.address() == self().Vm_.address() &&
        Vm.incarnation() > self().Vm_.incarnation())
      IsSuperseded_ = true;
    Table_.merge(Entry, SentAt, Now_);
    if (Entry.Liveness_ == Liveness::Dead && !isRelay())
      Table_.recordReportedDead(Entry.Status_);
    if (Entry.Liveness_ == Liveness::Live)
      SyncState.ReportedLive_[Vm.address()] = Vm;
    else
      SyncState.ReportedLive_.erase(Vm.address());
  }
  for (const RelayedHeartbeat &Heartbeat : Reply.RelayedHeartbeats_)
    Table_.recordRelayedHeartbeat(Heartbeat, SentAt, Now_);
  if (!Reply.RenewsReports_ || isRelay())
    return;
  for (const auto &[Address, Vm] : SyncState.ReportedLive_)
    Table_.recordReportedLive(Vm, SentAt);
}

void Membership::applyDigests(const HeartbeatReply &Reply,
                              const ProcessTime &SentAt,
                              PeerSyncState &SyncState) {
  for (const DigestEntry &Entry : Reply.Digests_) {
    Digests_.merge(Entry, SentAt);
    if (Entry.IsReachable_)
      SyncState.ReportedReachable_.insert(Entry.Digest_.Zone_);
    else
      SyncState.ReportedReachable_.erase(Entry.Digest_.Zone_);
  }
  if (!Reply.RenewsReports_ || isRelay())
    return;
  for (const base::ZoneName &Zone : SyncState.ReportedReachable_)
    Digests_.recordReportedReachable(Zone, SentAt);
}

void Membership::applyOtherZoneReply(const HeartbeatReply &Reply,
                                     const ProcessTime &SentAt) {
  for (const DigestEntry &Entry : Reply.Digests_)
    Digests_.merge(Entry, SentAt);
  for (const DigestAge &Age : Reply.RefreshedDigests_)
    Digests_.refresh(Age, SentAt);
  Digests_.updateReachability(Now_);
}

} // namespace ebony::membership
