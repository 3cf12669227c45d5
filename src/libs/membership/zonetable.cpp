#include "membership/zonetable.h"

#include <algorithm>
#include <utility>

namespace ebony::membership {

namespace {

constexpr std::int64_t NeverDenied = -1;

} // namespace

ZoneTable::ZoneTable(VmStatus Self, const MembershipSettings &Settings)
    : Self_(std::move(Self)), Settings_(Settings),
      Tree_({Self_.Vm_}, {}, Settings.RelaysPerZone_) {}

void ZoneTable::setSelf(const VmStatus &Self) {
  if (!Self.saysTheSameAs(Self_))
    ++Version_;
  Self_ = Self;
  plantTree();
}

base::Incarnation
ZoneTable::incarnationAt(const base::VmAddress &Address) const {
  if (Address == Self_.Vm_.address())
    return Self_.Vm_.incarnation();
  const auto Found = Records_.find(Address);
  return Found == Records_.end() ? 0 : Found->second.Status_.Vm_.incarnation();
}

// A newer incarnation starts a record afresh; an older one finds none.
MemberRecord *ZoneTable::recordFor(const VmStatus &Status) {
  const base::VmAddress &Address = Status.Vm_.address();
  if (Address == Self_.Vm_.address() || Status.Vm_.zone() != Self_.Vm_.zone() ||
      Status.Vm_.incarnation() < incarnationAt(Address))
    return nullptr;
  const auto Found = Records_.find(Address);
  if (Found != Records_.end() &&
      Found->second.Status_.Vm_.incarnation() == Status.Vm_.incarnation())
    return &Found->second;
  MemberRecord Fresh{.Status_ = Status,
                     .Detector_ = FailureDetector(Settings_),
                     .Vouched_ = {},
                     .HeardDirect_ = {},
                     .Version_ = ++Version_};
  return &Records_.insert_or_assign(Address, std::move(Fresh)).first->second;
}

void ZoneTable::takeStatus(MemberRecord &Record, const VmStatus &Status) {
  if (!Status.supersedes(Record.Status_))
    return;
  if (!Status.saysTheSameAs(Record.Status_))
    Record.Version_ = ++Version_;
  Record.Status_ = Status;
}

void ZoneTable::hearDirect(const VmStatus &Status,
                           const std::optional<ProcessTime> &Proven,
                           const ProcessTime &Now) {
  MemberRecord *Record = recordFor(Status);
  if (!Record)
    return;
  takeStatus(*Record, Status);
  if (!Proven)
    return;
  Record->Detector_.hear(*Proven, Now);
  Record->HeardDirect_ = Proven;
}

void ZoneTable::hearVia(const RelayedHeartbeat &Heard, const ProcessTime &AsOf,
                        const ProcessTime &Now) {
  const auto Found = Records_.find(Heard.Address_);
  if (Found == Records_.end())
    return;
  MemberRecord &Record = Found->second;
  if (Record.Status_.Vm_.incarnation() != Heard.Incarnation_ ||
      Heard.Sequence_ <= Record.Status_.Sequence_)
    return;
  Record.Status_.Sequence_ = Heard.Sequence_;
  Record.Detector_.hear(AsOf.before(Heard.Age_), Now);
}

void ZoneTable::merge(const MemberEntry &Entry, const ProcessTime &AsOf,
                      const ProcessTime &Now) {
  if (Entry.Liveness_ == Liveness::Dead && Entry.Age_ > Settings_.ForgetDead_)
    return;
  MemberRecord *Record = recordFor(Entry.Status_);
  if (!Record)
    return;
  const bool IsNews = !Record->Detector_.lastHeard() ||
                      Entry.Status_.supersedes(Record->Status_);
  takeStatus(*Record, Entry.Status_);
  if (IsNews)
    Record->Detector_.hear(AsOf.before(Entry.Age_), Now);
}

void ZoneTable::deny(const VmStatus &Status) {
  const auto Found = Records_.find(Status.Vm_.address());
  if (Found == Records_.end() || Found->second.Status_.Vm_ != Status.Vm_)
    return;
  std::int64_t &Denied = Found->second.DeniedSequence_;
  Denied = std::max(Denied, Status.Sequence_);
}

void ZoneTable::vouch(const base::VmIdentity &Vm, const ProcessTime &AsOf) {
  const auto Found = Records_.find(Vm.address());
  if (Found == Records_.end() || Found->second.Status_.Vm_ != Vm)
    return;
  Found->second.Vouched_ = AsOf;
  Found->second.DeniedSequence_ = NeverDenied;
}

void ZoneTable::applyPlatformList(const PlatformList &List) {
  std::set<base::VmAddress> Leaving;
  for (const PlatformVm &One : List)
    if (One.IsLeaving_)
      Leaving.insert(One.Address_);
  if (Leaving != LeavingByPlatform_)
    ++Version_;
  LeavingByPlatform_ = std::move(Leaving);
}

// A process that was paused for long suspects nobody for that, but what it
// heard before is too old to vouch for.
Liveness ZoneTable::judge(const MemberRecord &Record,
                          const ProcessTime &Now) const {
  if (Record.Status_.Phase_ == VmPhase::Gone ||
      Record.Status_.Sequence_ <= Record.DeniedSequence_)
    return Liveness::Dead;
  const base::Duration Longest = Settings_.LongestSilence_;
  const bool IsHeard = !Record.Detector_.suspects(Now);
  if (IsHeard && Record.Detector_.lastHeard()->ageAt(Now) <= Longest)
    return Liveness::Live;
  const bool IsVouched =
      Record.Vouched_ && Record.Vouched_->silenceAt(Now) <= Longest;
  return IsHeard || IsVouched ? Liveness::Unconfirmed : Liveness::Dead;
}

void ZoneTable::review(const ProcessTime &Now) {
  std::erase_if(Records_, [&](const Records::value_type &One) {
    const auto &Heard = One.second.Detector_.lastHeard();
    return One.second.Liveness_ == Liveness::Dead && Heard &&
           Heard->ageAt(Now) > Settings_.ForgetDead_;
  });
  for (auto &[Address, Record] : Records_) {
    const Liveness Judged = judge(Record, Now);
    if (Judged == Record.Liveness_)
      continue;
    Record.Liveness_ = Judged;
    Record.Version_ = ++Version_;
  }
  plantTree();
}

std::vector<MemberEntry> ZoneTable::changedSince(std::int64_t Since,
                                                 const ProcessTime &Now) const {
  std::vector<MemberEntry> Changed;
  for (const auto &[Address, Record] : Records_) {
    if (Record.Version_ <= Since || !Record.Detector_.lastHeard())
      continue;
    Changed.push_back({.Status_ = Record.Status_,
                       .Liveness_ = Record.Liveness_,
                       .Age_ = Record.Detector_.lastHeard()->ageAt(Now)});
  }
  return Changed;
}

std::vector<RelayedHeartbeat> ZoneTable::heard(bool OnlyDirect,
                                               const ProcessTime &Now) const {
  std::vector<RelayedHeartbeat> All;
  for (const auto &[Address, Record] : Records_) {
    const bool IsDirect =
        Record.HeardDirect_ &&
        Record.HeardDirect_->silenceAt(Now) <= Settings_.LongestSilence_;
    if (Record.Liveness_ != Liveness::Live || (OnlyDirect && !IsDirect))
      continue;
    All.push_back({.Address_ = Address,
                   .Incarnation_ = Record.Status_.Vm_.incarnation(),
                   .Sequence_ = Record.Status_.Sequence_,
                   .Age_ = Record.Detector_.lastHeard()->ageAt(Now)});
  }
  return All;
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

// The platform's marks stay out of the choice: they reach VMs at different
// times, and all have to choose alike.
void ZoneTable::plantTree() {
  if (TreeVersion_ == Version_)
    return;
  TreeVersion_ = Version_;
  std::vector<base::VmIdentity> Staying;
  std::vector<base::VmIdentity> Leaving;
  const auto Add = [&](const VmStatus &Status) {
    (Status.Phase_ == VmPhase::Serving ? Staying : Leaving)
        .push_back(Status.Vm_);
  };
  Add(Self_);
  for (const auto &[Address, Record] : Records_)
    if (Record.Liveness_ != Liveness::Dead)
      Add(Record.Status_);
  Tree_ = ZoneTree(Staying, Leaving, Settings_.RelaysPerZone_);
}

} // namespace ebony::membership
