#include "membership/zonetable.h"

#include <algorithm>
#include <utility>

namespace ebony::membership {

namespace {

constexpr std::int64_t NeverReportedDead = -1;

} // namespace

ZoneTable::ZoneTable(VmStatus Self, const MembershipSettings &Settings)
    : Self_(std::move(Self)), Settings_(Settings),
      Tree_({Self_.Vm_}, {}, Settings.RelaysPerZone_) {}

void ZoneTable::setSelf(const VmStatus &Self) {
  if (!Self.equalsIgnoringSequence(Self_))
    ++Version_;
  Self_ = Self;
  rebuildTree();
}

base::Incarnation
ZoneTable::incarnationAt(const base::VmAddress &Address) const {
  if (Address == Self_.Vm_.address())
    return Self_.Vm_.incarnation();
  const auto Found = Records_.find(Address);
  return Found == Records_.end() ? 0 : Found->second.Status_.Vm_.incarnation();
}

// Replaces the record when the incarnation is newer; returns null when it is
// older.
MemberRecord *ZoneTable::recordFor(const VmStatus &Status) {
  const base::VmAddress &Address = Status.Vm_.address();
  if (Address == Self_.Vm_.address() || Status.Vm_.zone() != Self_.Vm_.zone() ||
      Status.Vm_.incarnation() < incarnationAt(Address))
    return nullptr;
  const auto Found = Records_.find(Address);
  if (Found != Records_.end() &&
      Found->second.Status_.Vm_.incarnation() == Status.Vm_.incarnation())
    return &Found->second;
  MemberRecord NewRecord{.Status_ = Status,
                         .Detector_ = FailureDetector(Settings_),
                         .ReportedLiveAt_ = {},
                         .LastDirectHeartbeat_ = {},
                         .Version_ = ++Version_};
  return &Records_.insert_or_assign(Address, std::move(NewRecord))
              .first->second;
}

void ZoneTable::updateStatus(MemberRecord &Record, const VmStatus &Status) {
  if (!Status.isNewerThan(Record.Status_))
    return;
  if (!Status.equalsIgnoringSequence(Record.Status_))
    Record.Version_ = ++Version_;
  Record.Status_ = Status;
}

void ZoneTable::recordDirectHeartbeat(
    const VmStatus &Status, const std::optional<ProcessTime> &ProvenAliveAt,
    const ProcessTime &Now) {
  MemberRecord *Record = recordFor(Status);
  if (!Record)
    return;
  updateStatus(*Record, Status);
  if (!ProvenAliveAt)
    return;
  Record->Detector_.recordHeartbeat(*ProvenAliveAt, Now);
  Record->LastDirectHeartbeat_ = ProvenAliveAt;
}

void ZoneTable::recordRelayedHeartbeat(const RelayedHeartbeat &Heartbeat,
                                       const ProcessTime &AsOf,
                                       const ProcessTime &Now) {
  const auto Found = Records_.find(Heartbeat.Address_);
  if (Found == Records_.end())
    return;
  MemberRecord &Record = Found->second;
  if (Record.Status_.Vm_.incarnation() != Heartbeat.Incarnation_ ||
      Heartbeat.Sequence_ <= Record.Status_.Sequence_)
    return;
  Record.Status_.Sequence_ = Heartbeat.Sequence_;
  Record.Detector_.recordHeartbeat(AsOf.before(Heartbeat.Age_), Now);
}

void ZoneTable::merge(const MemberEntry &Entry, const ProcessTime &AsOf,
                      const ProcessTime &Now) {
  if (Entry.Liveness_ == Liveness::Dead &&
      Entry.Age_ > Settings_.DeadRetention_)
    return;
  MemberRecord *Record = recordFor(Entry.Status_);
  if (!Record)
    return;
  const bool IsNewer = !Record->Detector_.lastHeartbeat() ||
                       Entry.Status_.isNewerThan(Record->Status_);
  updateStatus(*Record, Entry.Status_);
  if (IsNewer)
    Record->Detector_.recordHeartbeat(AsOf.before(Entry.Age_), Now);
}

void ZoneTable::recordReportedDead(const VmStatus &Status) {
  const auto Found = Records_.find(Status.Vm_.address());
  if (Found == Records_.end() || Found->second.Status_.Vm_ != Status.Vm_)
    return;
  std::int64_t &ReportedDead = Found->second.ReportedDeadSequence_;
  ReportedDead = std::max(ReportedDead, Status.Sequence_);
}

void ZoneTable::recordReportedLive(const base::VmIdentity &Vm,
                                   const ProcessTime &AsOf) {
  const auto Found = Records_.find(Vm.address());
  if (Found == Records_.end() || Found->second.Status_.Vm_ != Vm)
    return;
  Found->second.ReportedLiveAt_ = AsOf;
  Found->second.ReportedDeadSequence_ = NeverReportedDead;
}

void ZoneTable::applyPlatformList(const PlatformList &List) {
  std::set<base::VmAddress> Leaving;
  for (const PlatformVm &Vm : List)
    if (Vm.IsLeaving_)
      Leaving.insert(Vm.Address_);
  if (Leaving != LeavingByPlatform_)
    ++Version_;
  LeavingByPlatform_ = std::move(Leaving);
}

// A long pause of this process is no reason to suspect other VMs, but
// heartbeats from before the pause are too old to count a VM as live.
Liveness ZoneTable::livenessAt(const MemberRecord &Record,
                               const ProcessTime &Now) const {
  if (Record.Status_.Phase_ == VmPhase::Gone ||
      Record.Status_.Sequence_ <= Record.ReportedDeadSequence_)
    return Liveness::Dead;
  const base::Duration Timeout = Settings_.MaxSuspicionTimeout_;
  const bool HasHeartbeat = !Record.Detector_.isSuspected(Now);
  if (HasHeartbeat && Record.Detector_.lastHeartbeat()->ageAt(Now) <= Timeout)
    return Liveness::Live;
  const bool IsReportedLive =
      Record.ReportedLiveAt_ &&
      Record.ReportedLiveAt_->runningAgeAt(Now) <= Timeout;
  return HasHeartbeat || IsReportedLive ? Liveness::Unconfirmed
                                        : Liveness::Dead;
}

void ZoneTable::updateLiveness(const ProcessTime &Now) {
  std::erase_if(Records_, [&](const Records::value_type &Entry) {
    const auto &LastHeartbeat = Entry.second.Detector_.lastHeartbeat();
    return Entry.second.Liveness_ == Liveness::Dead && LastHeartbeat &&
           LastHeartbeat->ageAt(Now) > Settings_.DeadRetention_;
  });
  for (auto &[Address, Record] : Records_) {
    const Liveness NewLiveness = livenessAt(Record, Now);
    if (NewLiveness == Record.Liveness_)
      continue;
    Record.Liveness_ = NewLiveness;
    Record.Version_ = ++Version_;
  }
  rebuildTree();
}

std::vector<MemberEntry> ZoneTable::changedSince(std::int64_t Since,
                                                 const ProcessTime &Now) const {
  std::vector<MemberEntry> Changed;
  for (const auto &[Address, Record] : Records_) {
    if (Record.Version_ <= Since || !Record.Detector_.lastHeartbeat())
      continue;
    Changed.push_back({.Status_ = Record.Status_,
                       .Liveness_ = Record.Liveness_,
                       .Age_ = Record.Detector_.lastHeartbeat()->ageAt(Now)});
  }
  return Changed;
}

std::vector<RelayedHeartbeat>
ZoneTable::liveHeartbeats(bool OnlyDirectHeartbeats,
                          const ProcessTime &Now) const {
  std::vector<RelayedHeartbeat> Heartbeats;
  for (const auto &[Address, Record] : Records_) {
    const bool IsDirect = Record.LastDirectHeartbeat_ &&
                          Record.LastDirectHeartbeat_->runningAgeAt(Now) <=
                              Settings_.MaxSuspicionTimeout_;
    if (Record.Liveness_ != Liveness::Live ||
        (OnlyDirectHeartbeats && !IsDirect))
      continue;
    Heartbeats.push_back(
        {.Address_ = Address,
         .Incarnation_ = Record.Status_.Vm_.incarnation(),
         .Sequence_ = Record.Status_.Sequence_,
         .Age_ = Record.Detector_.lastHeartbeat()->ageAt(Now)});
  }
  return Heartbeats;
}

bool ZoneTable::isLeaving(const MemberRecord &Record) const {
  return Record.Status_.Phase_ != VmPhase::Serving ||
         LeavingByPlatform_.contains(Record.Status_.Vm_.address());
}

ZoneView ZoneTable::view() const {
  ZoneView View{
      .Zone_ = Self_.Vm_.zone(), .Version_ = Version_, .Members_ = {}};
  View.Members_.reserve(Records_.size() + 1);
  View.Members_.push_back(
      {.Status_ = Self_,
       .IsLive_ = Self_.Phase_ != VmPhase::Gone,
       .IsLeaving_ = Self_.Phase_ != VmPhase::Serving ||
                     LeavingByPlatform_.contains(Self_.Vm_.address())});
  for (const auto &[Address, Record] : Records_)
    View.Members_.push_back({.Status_ = Record.Status_,
                             .IsLive_ = Record.Liveness_ != Liveness::Dead,
                             .IsLeaving_ = isLeaving(Record)});
  std::sort(View.Members_.begin(), View.Members_.end(),
            [](const ZoneMember &Left, const ZoneMember &Right) {
              return Left.Status_.Vm_ < Right.Status_.Vm_;
            });
  return View;
}

// Ignores the leaving VMs of the platform's list: the list reaches VMs at
// different times, and all VMs have to compute the same tree.
void ZoneTable::rebuildTree() {
  if (TreeVersion_ == Version_)
    return;
  TreeVersion_ = Version_;
  std::vector<base::VmIdentity> Staying;
  std::vector<base::VmIdentity> Leaving;
  const auto AddCandidate = [&](const VmStatus &Status) {
    (Status.Phase_ == VmPhase::Serving ? Staying : Leaving)
        .push_back(Status.Vm_);
  };
  AddCandidate(Self_);
  for (const auto &[Address, Record] : Records_)
    if (Record.Liveness_ != Liveness::Dead)
      AddCandidate(Record.Status_);
  Tree_ = ZoneTree(Staying, Leaving, Settings_.RelaysPerZone_);
}

} // namespace ebony::membership
