#include "traffic/upstreamtable.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

bool isNewStart(const UpstreamEntry &Old, const UpstreamEntry &New) {
  return Old.StartedUnixMs_ != New.StartedUnixMs_ ||
         Old.Address_ != New.Address_ || Old.Port_ != New.Port_ ||
         Old.Service_ != New.Service_;
}

} // namespace

bool UpstreamTable::put(const UpstreamEntry &Entry, base::TimePoint Now) {
  Lapsed_.erase(Entry.Name_);
  UpstreamPtr &Known = All_[Entry.Name_];
  const bool IsNew = !Known || isNewStart(Known->Entry_, Entry);
  if (!IsNew && Known->Entry_ == Entry)
    return false;
  if (IsNew) {
    if (Known)
      Known->IsListed_ = false;
    Known = UpstreamPtr(new UpstreamState);
    Known->NameHash_ = base::stableHash(Entry.Name_.text());
    const auto Zone = Zones_.find(Entry.Zone_);
    if (Zone != Zones_.end())
      Known->Region_ = Zone->second;
  }
  if (Entry.ColdRemaining_ > base::Duration::zero())
    Known->ColdUntil_ = std::max(Known->ColdUntil_, Now + Entry.ColdRemaining_);
  Known->Entry_ = Entry;
  rebuildGroups();
  return true;
}

void UpstreamTable::remove(const base::UpstreamName &Name,
                           base::TimePoint Now) {
  if (!All_.contains(Name))
    return;
  if (Now < GraceUntil_) {
    Lapsed_.insert(Name);
    return;
  }
  drop(Name);
  rebuildGroups();
}

void UpstreamTable::retainOnly(const std::set<base::UpstreamName> &Listed,
                               base::TimePoint Now) {
  std::vector<base::UpstreamName> Gone;
  for (const auto &[Name, State] : All_)
    if (!Listed.contains(Name))
      Gone.push_back(Name);
  for (const base::UpstreamName &Name : Gone)
    remove(Name, Now);
}

void UpstreamTable::expire(base::TimePoint Now) {
  if (Lapsed_.empty() || Now < GraceUntil_)
    return;
  for (const base::UpstreamName &Name : Lapsed_)
    drop(Name);
  Lapsed_.clear();
  rebuildGroups();
}

void UpstreamTable::setEvacuated(const std::set<base::ZoneName> &Zones,
                                 base::Duration ColdSpan, base::TimePoint Now) {
  for (const auto &[Name, State] : All_) {
    const base::ZoneName &Zone = State->Entry_.Zone_;
    if (EvacuatedZones_.contains(Zone) && !Zones.contains(Zone))
      State->ColdUntil_ = std::max(State->ColdUntil_, Now + ColdSpan);
  }
  EvacuatedZones_ = Zones;
  rebuildGroups();
}

const std::vector<UpstreamPtr> &
UpstreamTable::usable(const base::ServiceName &Service) const {
  static const std::vector<UpstreamPtr> None;
  const auto Entry = Groups_.find(Service);
  return Entry == Groups_.end() ? None : Entry->second.Usable_;
}

const RegionSlots &
UpstreamTable::slots(const base::ServiceName &Service) const {
  static const RegionSlots None;
  const auto Entry = Groups_.find(Service);
  return Entry == Groups_.end() ? None : Entry->second.Slots_;
}

void UpstreamTable::setInFlightElsewhere(
    const std::map<NameTag, int> &InFlight) {
  for (const auto &[Name, State] : All_) {
    const auto Told = InFlight.find(State->tag());
    State->InFlightElsewhere_ = Told == InFlight.end() ? 0 : Told->second;
  }
}

UpstreamPtr UpstreamTable::find(const base::UpstreamName &Name) const {
  const auto Entry = All_.find(Name);
  return Entry == All_.end() ? nullptr : Entry->second;
}

void UpstreamTable::drop(const base::UpstreamName &Name) {
  const auto Entry = All_.find(Name);
  if (Entry == All_.end())
    return;
  Entry->second->IsListed_ = false;
  All_.erase(Entry);
}

void UpstreamTable::rebuildGroups() {
  Groups_.clear();
  for (const auto &[Name, State] : All_) {
    if (State->Entry_.IsDraining_ ||
        EvacuatedZones_.contains(State->Entry_.Zone_))
      continue;
    Group &Own = Groups_[State->Entry_.Service_];
    Own.Usable_.push_back(State);
    Own.Slots_[State->Region_] += State->Entry_.Slots_;
  }
}

} // namespace ebony::traffic
