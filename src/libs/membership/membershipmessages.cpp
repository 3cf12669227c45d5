#include "membership/membership.h"

#include <algorithm>

namespace ebony::membership {

namespace {

bool knows(const std::vector<DigestAge> &Known, const DigestAge &One) {
  return std::any_of(Known.begin(), Known.end(), [&](const DigestAge &Other) {
    return Other.Zone_ == One.Zone_ && Other.ContentId_ == One.ContentId_;
  });
}

} // namespace

// A request may have waited long in a buffer. Only its echo of this VM's last
// answer says when its sender was alive.
HeartbeatReply Membership::answer(base::TimePoint Now,
                                  const HeartbeatRequest &Request) {
  review(Now);
  const base::VmIdentity &Sender = Request.Status_.Vm_;
  if (!isOfOwnZone(Request.Status_))
    return answerOtherZone(Request);
  HeartbeatReply Reply{.Status_ = self(),
                       .AnswersSequence_ = Request.Status_.Sequence_,
                       .Time_ = Now_};
  const base::Incarnation Known = Table_.incarnationAt(Sender.address());
  if (Sender.incarnation() < Known) {
    Reply.SupersededBy_ = Known;
    return Reply;
  }
  const bool HasRead = Request.KnownIncarnation_ == self().Vm_.incarnation();
  Table_.hearDirect(Request.Status_,
                    HasRead ? Request.Echo_ : std::optional<ProcessTime>(),
                    Now_);
  Table_.review(Now_);
  const ZoneTree Tree = Table_.tree();
  const bool IsRelay = Tree.isRelay(self().Vm_.address());
  Reply.IsWhole_ = !HasRead;
  Reply.Vouches_ = IsRelay;
  Reply.Version_ = Table_.version();
  Reply.Members_ =
      Table_.changedSince(Reply.IsWhole_ ? 0 : Request.KnownVersion_, Now_);
  std::erase_if(Reply.Members_, [&](const MemberEntry &One) {
    return One.Status_.Vm_ == Sender;
  });
  if (Request.IsRelay_)
    Reply.Heard_ = Table_.heard(Request.TreeId_ == Tree.id(), Now_);
  Reply.DigestVersion_ = Digests_.version();
  Reply.Digests_ = Digests_.changedSince(
      Reply.IsWhole_ ? 0 : Request.KnownDigestVersion_, Now_);
  if (!IsRelay)
    Reply.Relays_ = Tree.relays();
  return Reply;
}

HeartbeatReply
Membership::answerOtherZone(const HeartbeatRequest &Request) const {
  HeartbeatReply Reply{.Status_ = self(),
                       .AnswersSequence_ = Request.Status_.Sequence_,
                       .Time_ = Now_};
  Reply.Digests_ = Digests_.youngerThan(Request.KnownDigests_,
                                        Settings_.GossipInterval_, Now_);
  std::erase_if(Reply.Digests_, [&](const DigestEntry &One) {
    return One.Digest_.Zone_ == Request.Status_.Vm_.zone();
  });
  Reply.Digests_.push_back(ownDigest());
  std::erase_if(Reply.Digests_, [&](const DigestEntry &One) {
    const DigestAge Refresh{.Zone_ = One.Digest_.Zone_,
                            .Age_ = One.Age_,
                            .ContentId_ = One.Digest_.contentId()};
    const bool IsKnown = knows(Request.KnownDigests_, Refresh);
    if (IsKnown)
      Reply.Refreshed_.push_back(Refresh);
    return IsKnown;
  });
  return Reply;
}

void Membership::accept(base::TimePoint Now, const base::VmAddress &Target,
                        const HeartbeatReply &Reply) {
  review(Now);
  const auto Sent = Ledger_.answered(Target, Reply.AnswersSequence_);
  if (!Sent)
    return;
  if (!isOfOwnZone(Reply.Status_)) {
    acceptOtherZone(Reply, *Sent);
    return;
  }
  IsSuperseded_ =
      IsSuperseded_ || Reply.SupersededBy_ > self().Vm_.incarnation();
  const base::VmIdentity &Vm = Reply.Status_.Vm_;
  if (IsSuperseded_ || Vm.address() != Target ||
      Vm.incarnation() < Table_.incarnationAt(Target))
    return;
  Table_.hearDirect(Reply.Status_, *Sent, Now_);
  PeerSyncState &Source = Sources_[Target];
  if (Reply.IsWhole_) {
    Source = PeerSyncState();
    Source.Incarnation_ = Vm.incarnation();
  }
  // An echo proves life only when it is fresh.
  if (Sent->silenceAt(Now_) + Source.Answered_.silenceAt(*Sent) >
      2 * Settings_.HeartbeatInterval_)
    NextHeartbeat_ = Now;
  Source.Time_ = Reply.Time_;
  Source.Answered_ = Now_;
  takeMembers(Reply, *Sent, Source);
  takeDigests(Reply, *Sent, Source);
  Redirect_ = Reply.Relays_;
  Source.Version_ = Reply.Version_;
  Source.DigestVersion_ = Reply.DigestVersion_;
  review(Now);
}

// Between relays only heartbeats with their ages count: if they vouched for
// each other's word, a dead VM could live on in a circle, and a verdict of one
// that hears badly would become that of all.
void Membership::takeMembers(const HeartbeatReply &Reply,
                             const ProcessTime &Sent, PeerSyncState &Source) {
  for (const MemberEntry &One : Reply.Members_) {
    const base::VmIdentity &Vm = One.Status_.Vm_;
    if (Vm.address() == self().Vm_.address() &&
        Vm.incarnation() > self().Vm_.incarnation())
      IsSuperseded_ = true;
    Table_.merge(One, Sent, Now_);
    if (One.Liveness_ == Liveness::Dead && !isRelay())
      Table_.deny(One.Status_);
    if (One.Liveness_ == Liveness::Live)
      Source.ToldLive_[Vm.address()] = Vm;
    else
      Source.ToldLive_.erase(Vm.address());
  }
  for (const RelayedHeartbeat &One : Reply.Heard_)
    Table_.hearVia(One, Sent, Now_);
  if (!Reply.Vouches_ || isRelay())
    return;
  for (const auto &[Address, Vm] : Source.ToldLive_)
    Table_.vouch(Vm, Sent);
}

void Membership::takeDigests(const HeartbeatReply &Reply,
                             const ProcessTime &Sent, PeerSyncState &Source) {
  for (const DigestEntry &One : Reply.Digests_) {
    Digests_.merge(One, Sent);
    if (One.IsReachable_)
      Source.ToldReachable_.insert(One.Digest_.Zone_);
    else
      Source.ToldReachable_.erase(One.Digest_.Zone_);
  }
  if (!Reply.Vouches_ || isRelay())
    return;
  for (const base::ZoneName &Zone : Source.ToldReachable_)
    Digests_.vouch(Zone, Sent);
}

void Membership::acceptOtherZone(const HeartbeatReply &Reply,
                                 const ProcessTime &Sent) {
  for (const DigestEntry &One : Reply.Digests_)
    Digests_.merge(One, Sent);
  for (const DigestAge &One : Reply.Refreshed_)
    Digests_.refresh(One, Sent);
  Digests_.review(Now_);
}

} // namespace ebony::membership
