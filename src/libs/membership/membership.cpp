#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace ebony::membership {

namespace {

constexpr double JitterFraction = 0.1;
constexpr std::uint32_t CapacityStepDivisor = 8;

std::uint32_t difference(std::uint32_t Left, std::uint32_t Right) {
  return Left > Right ? Left - Right : Right - Left;
}

} // namespace

Membership::Membership(const base::VmIdentity &Self,
                       const MembershipSettings &Settings,
                       base::RandomEngine Random)
    : Settings_(Settings), Random_(Random),
      PauseMeter_(Settings.PauseThreshold_),
      Table_(VmStatus{.Vm_ = Self}, Settings), Digests_(Self.zone(), Settings),
      PeerSelector_(Self.address(), Self.zone(), base::RandomEngine(Random_())),
      Pulls_(Settings) {}

void Membership::applyPlatformList(const PlatformList &List) {
  PeerSelector_.applyPlatformList(List);
  Table_.applyPlatformList(List);
}

void Membership::updateOwnStatus(std::int64_t AppliedRevision,
                                 std::uint32_t FreeCapacity) {
  VmStatus Status = self();
  Status.AppliedRevision_ = AppliedRevision;
  const std::uint32_t Step = std::max(
      std::max(FreeCapacity, Status.FreeCapacity_) / CapacityStepDivisor, 1U);
  if (difference(FreeCapacity, Status.FreeCapacity_) >= Step)
    Status.FreeCapacity_ = FreeCapacity;
  setStatus(Status);
}

void Membership::announce(VmPhase Phase) {
  VmStatus Status = self();
  Status.Phase_ = std::max(Status.Phase_, Phase);
  setStatus(Status);
  NextHeartbeat_ = base::TimePoint();
}

// Each change of content gets a new sequence, so that the newer of two statuses
// is always known.
void Membership::setStatus(const VmStatus &Status) {
  if (Status == self())
    return;
  Table_.setSelf(Status);
  advanceSequence();
}

void Membership::advanceSequence() {
  VmStatus Status = self();
  ++Status.Sequence_;
  Table_.setSelf(Status);
}

void Membership::advanceTo(base::TimePoint Now) {
  Now_ = PauseMeter_.observe(Now);
  Table_.updateLiveness(Now_);
  Digests_.updateReachability(Now_);
}

bool Membership::isRelay() const {
  return Table_.tree().isRelay(self().Vm_.address());
}

bool Membership::isOfOwnZone(const VmStatus &Status) const {
  return Status.Vm_.zone() == self().Vm_.zone();
}

base::Duration Membership::jittered(base::Duration Interval) {
  const double Factor = 1 + JitterFraction * (2 * Random_.unit() - 1);
  return base::fromSeconds(base::toSeconds(Interval) * Factor);
}

std::vector<Pull> Membership::tick(base::TimePoint Now) {
  advanceTo(Now);
  std::vector<Pull> DuePulls;
  if (IsSuperseded_)
    return DuePulls;
  for (const base::VmAddress &Target : Pulls_.expire(Now_)) {
    RetryTargets_.insert(Target);
    RedirectRelays_.clear();
  }
  addHeartbeats(DuePulls);
  if (isRelay()) {
    addGossip(DuePulls);
    addProbe(DuePulls);
  }
  return DuePulls;
}

std::vector<base::VmAddress>
Membership::heartbeatTargets(const ZoneTree &Tree) const {
  const base::VmAddress &Self = self().Vm_.address();
  std::vector<base::VmAddress> Targets;
  if (Tree.isRelay(Self)) {
    for (const base::VmAddress &Relay : Tree.relays())
      if (Relay != Self)
        Targets.push_back(Relay);
    return Targets;
  }
  const std::set<base::VmAddress> Avoided = Pulls_.avoidedTargets(Now_);
  const base::VmAddress Relay =
      RedirectRelays_.empty()
          ? Tree.relayOf(Self, Avoided)
          : ZoneTree::chooseRelay(RedirectRelays_, Self, Avoided);
  if (!Relay.isEmpty())
    Targets.push_back(Relay);
  return Targets;
}

// A failed pull is retried at once with the relay chosen then. A newly chosen
// relay is pulled from at once as well.
void Membership::addHeartbeats(std::vector<Pull> &DuePulls) {
  const ZoneTree Tree = Table_.tree();
  const std::vector<base::VmAddress> Targets = heartbeatTargets(Tree);
  const bool IsHeartbeatDue = Now_.Real_ >= NextHeartbeat_;
  const bool IsRetryDue = !RetryTargets_.empty() && !isRelay();
  for (const base::VmAddress &Target : Targets)
    if (IsHeartbeatDue || IsRetryDue || RetryTargets_.contains(Target) ||
        std::find(LastTargets_.begin(), LastTargets_.end(), Target) ==
            LastTargets_.end())
      addPull(DuePulls, Target);
  LastTargets_ = Targets;
  RetryTargets_.clear();
  if (!IsHeartbeatDue)
    return;
  NextHeartbeat_ = Now_.Real_ + jittered(Settings_.HeartbeatInterval_);
  if (Targets.empty())
    addPull(DuePulls, PeerSelector_.randomMissingMember(Table_.view()));
  std::erase_if(SyncStates_,
                [&](const auto &Entry) { return !Tree.isRelay(Entry.first); });
}

void Membership::addGossip(std::vector<Pull> &DuePulls) {
  if (Now_.Real_ < NextGossip_)
    return;
  NextGossip_ = Now_.Real_ + jittered(Settings_.GossipInterval_);
  const base::VmAddress Target =
      PeerSelector_.randomOtherZonePeer(Digests_.changedSince(0, Now_));
  if (Target.isEmpty() || Pulls_.isPending(Target))
    return;
  advanceSequence();
  Pulls_.recordSent(Target, self().Sequence_, Now_);
  DuePulls.push_back({.Target_ = Target, .Request_ = otherZoneRequest()});
}

// Rejoins partitions of a zone that don't know of each other, and finds VMs
// that restart at an address known as dead.
void Membership::addProbe(std::vector<Pull> &DuePulls) {
  if (Now_.Real_ < NextProbe_)
    return;
  NextProbe_ = Now_.Real_ + jittered(Settings_.ProbeInterval_);
  addPull(DuePulls, PeerSelector_.randomMissingMember(Table_.view()));
}

void Membership::addPull(std::vector<Pull> &DuePulls,
                         const base::VmAddress &Target) {
  if (Target.isEmpty() || Pulls_.isPending(Target))
    return;
  advanceSequence();
  Pulls_.recordSent(Target, self().Sequence_, Now_);
  DuePulls.push_back({.Target_ = Target, .Request_ = zoneRequest(Target)});
}

HeartbeatRequest Membership::zoneRequest(const base::VmAddress &Target) const {
  HeartbeatRequest Request{
      .Status_ = self(), .IsRelay_ = isRelay(), .TreeId_ = tree().id()};
  const auto Known = SyncStates_.find(Target);
  if (Known == SyncStates_.end())
    return Request;
  Request.KnownIncarnation_ = Known->second.Incarnation_;
  Request.Echo_ = Known->second.Time_;
  Request.KnownVersion_ = Known->second.Version_;
  Request.KnownDigestVersion_ = Known->second.DigestVersion_;
  return Request;
}

HeartbeatRequest Membership::otherZoneRequest() const {
  return {.Status_ = self(),
          .IsRelay_ = true,
          .KnownDigests_ = Digests_.ages(Now_)};
}

DigestEntry Membership::ownDigest() const {
  ZoneDigest Digest{.Zone_ = self().Vm_.zone(),
                    .LowestRevision_ = self().AppliedRevision_,
                    .Relays_ = Table_.tree().relays()};
  for (const ZoneMember &Member : Table_.view().Members_) {
    if (!Member.IsLive_)
      continue;
    ++Digest.LiveVms_;
    Digest.LowestRevision_ =
        std::min(Digest.LowestRevision_, Member.Status_.AppliedRevision_);
    if (!Member.takesNewWork())
      continue;
    ++Digest.ServingVms_;
    Digest.FreeCapacity_ += Member.Status_.FreeCapacity_;
  }
  return {.Digest_ = std::move(Digest), .IsReachable_ = true};
}

void Membership::recordFailure(base::TimePoint Now,
                               const base::VmAddress &Target) {
  advanceTo(Now);
  if (!Pulls_.isPending(Target))
    return;
  Pulls_.recordFailure(Target, Now_);
  RetryTargets_.insert(Target);
}

FleetView Membership::fleet() const {
  return {.OwnZone_ = Table_.view(),
          .OtherZones_ = Digests_.changedSince(0, Now_)};
}

} // namespace ebony::membership
