#include "traffic/upstreamtable.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Most upstreams in one report; those that stay cold for longest go first.
constexpr std::size_t MaxReportedCold = 128;

bool isOtherProcess(const UpstreamEntry &Old, const UpstreamEntry &New) {
  return Old.StartedUnixMs_ != New.StartedUnixMs_ ||
         Old.Address_ != New.Address_ || Old.Port_ != New.Port_ ||
         Old.Service_ != New.Service_;
}

} // namespace

bool UpstreamTable::put(const UpstreamEntry &Entry, base::TimePoint Now,
                        base::Duration MinColdTime, bool IsFresh) {
  if (orderOf(Entry, Now) == EntryOrder::Outdated)
    return false;
  const UpstreamRunPtr Run = Runs_.record(Entry, Now);
  if (!Run)
    return false;
  RemovedInGrace_.erase(Entry.Name_);
  UpstreamPtr &Upstream = Upstreams_[Entry.Name_];
  const bool IsNew = !Upstream || Upstream->Run_ != Run ||
                     isOtherProcess(Upstream->Entry_, Entry);
  const base::Duration ColdTime =
      IsNew ? std::max(Entry.ColdRemaining_, MinColdTime)
            : Entry.ColdRemaining_;
  if (!IsNew) {
    Upstream->Entry_.Sequence_ = Entry.Sequence_;
    if (Upstream->Entry_ == Entry)
      return false;
  }
  if (IsNew) {
    const UpstreamPtr Previous = Upstream;
    Upstream = UpstreamPtr(new UpstreamState);
    if (Previous) {
      Previous->IsListed_ = false;
      Upstream->keepCold(*Previous);
    }
    Upstream->NameHash_ = base::stableHash(Entry.Name_.text());
    const auto Zone = Zones_.find(Entry.Zone_);
    if (Zone != Zones_.end())
      Upstream->Region_ = Zone->second;
  }
  if (ColdTime > base::Duration::zero())
    Upstream->markCold(Now + ColdTime, IsFresh);
  Upstream->Entry_ = Entry;
  Upstream->Run_ = Run;
  if (IsNew && Run->QuietUntil_ > Now)
    Upstream->keepQuiet(Run->QuietUntil_);
  rebuildGroups();
  return true;
}

void UpstreamTable::remove(const base::UpstreamName &Name,
                           base::TimePoint Now) {
  if (!Upstreams_.contains(Name))
    return;
  if (Now < GraceUntil_) {
    RemovedInGrace_.insert(Name);
    return;
  }
  Runs_.recordRemoval(Name, Now);
  eraseEntry(Name);
  rebuildGroups();
}

void UpstreamTable::retainOnly(const std::set<base::UpstreamName> &Listed,
                               base::TimePoint Now) {
  std::vector<base::UpstreamName> Unlisted;
  for (const auto &[Name, State] : Upstreams_)
    if (!Listed.contains(Name))
      Unlisted.push_back(Name);
  for (const base::UpstreamName &Name : Unlisted)
    remove(Name, Now);
}

void UpstreamTable::expire(base::TimePoint Now) {
  Runs_.expire(
      [this](const base::UpstreamName &Name) {
        return Upstreams_.contains(Name);
      },
      Now);
  if (RemovedInGrace_.empty() || Now < GraceUntil_)
    return;
  for (const base::UpstreamName &Name : RemovedInGrace_) {
    Runs_.recordRemoval(Name, Now);
    eraseEntry(Name);
  }
  RemovedInGrace_.clear();
  rebuildGroups();
}

bool UpstreamTable::recordLeaving(const UpstreamState &Upstream) {
  UpstreamRun &Run = *Upstream.Run_;
  if (Run.IsLeaving_)
    return false;
  Run.IsLeaving_ = true;
  rebuildGroups();
  return true;
}

void UpstreamTable::recordQuiet(UpstreamState &Upstream,
                                base::TimePoint Until) {
  UpstreamRun &Run = *Upstream.Run_;
  Run.QuietUntil_ = std::max(Run.QuietUntil_, Until);
  Upstream.keepQuiet(Run.QuietUntil_);
  const UpstreamPtr Listed = find(Upstream.Entry_.Name_);
  if (Listed && Listed->Run_ == Upstream.Run_)
    Listed->keepQuiet(Run.QuietUntil_);
}

void UpstreamTable::setEvacuated(const std::set<base::ZoneName> &Zones,
                                 base::Duration ColdDuration,
                                 base::TimePoint Now, bool IsFresh) {
  for (const auto &[Name, State] : Upstreams_) {
    const base::ZoneName &Zone = State->Entry_.Zone_;
    if (EvacuatedZones_.contains(Zone) && !Zones.contains(Zone))
      State->markCold(Now + ColdDuration, IsFresh);
  }
  EvacuatedZones_ = Zones;
  rebuildGroups();
}

const std::vector<UpstreamPtr> &
UpstreamTable::usable(const base::ServiceName &Service) const {
  static const std::vector<UpstreamPtr> Empty;
  const auto Entry = Groups_.find(Service);
  return Entry == Groups_.end() ? Empty : Entry->second.Usable_;
}

const RegionSlots &
UpstreamTable::slots(const base::ServiceName &Service) const {
  static const RegionSlots Empty;
  const auto Entry = Groups_.find(Service);
  return Entry == Groups_.end() ? Empty : Entry->second.Slots_;
}

void UpstreamTable::setInFlightElsewhere(
    const std::map<NameTag, int> &InFlight) {
  for (const auto &[Name, State] : Upstreams_) {
    const auto Entry = InFlight.find(State->tag());
    State->InFlightElsewhere_ = Entry == InFlight.end() ? 0 : Entry->second;
  }
}

std::vector<UpstreamPtr> UpstreamTable::applyReportedLimits(
    const std::map<NameTag, ReportedLimit> &Limits, base::TimePoint Now) {
  std::vector<UpstreamPtr> Changed;
  if (Limits.empty())
    return Changed;
  for (const auto &[Name, Upstream] : Upstreams_) {
    const auto Entry = Limits.find(Upstream->runTag());
    if (Entry == Limits.end())
      continue;
    const NamedLimit Before = Upstream->Limit_;
    Upstream->Limit_ = Before.afterReport(Entry->second, Now);
    if (Before.differsInForce(Upstream->Limit_))
      Changed.push_back(Upstream);
  }
  return Changed;
}

std::map<NameTag, ReportedLimit>
UpstreamTable::limitsToReport(base::TimePoint Now) const {
  std::map<NameTag, ReportedLimit> Result;
  for (const auto &[Name, Upstream] : Upstreams_)
    if (const auto Limit = Upstream->Limit_.toReport(Now))
      Result.emplace(Upstream->runTag(), *Limit);
  return Result;
}

std::vector<UpstreamPtr>
UpstreamTable::applyReportedCold(const std::map<NameTag, base::Duration> &Cold,
                                 base::TimePoint Now) {
  std::vector<UpstreamPtr> Changed;
  if (Cold.empty())
    return Changed;
  for (const auto &[Name, Upstream] : Upstreams_) {
    const auto Entry = Cold.find(Upstream->tag());
    if (Entry == Cold.end())
      continue;
    if (!Upstream->isCold(Now))
      Changed.push_back(Upstream);
    Upstream->ReportedColdUntil_ =
        std::max(Upstream->ReportedColdUntil_, Now + Entry->second);
  }
  return Changed;
}

std::map<NameTag, base::Duration>
UpstreamTable::coldToReport(base::TimePoint Now) const {
  std::vector<std::pair<base::TimePoint, NameTag>> Cold;
  for (const auto &[Name, Upstream] : Upstreams_)
    if (Upstream->ColdToReportUntil_ > Now)
      Cold.emplace_back(Upstream->ColdToReportUntil_, Upstream->tag());
  std::sort(Cold.rbegin(), Cold.rend());
  Cold.resize(std::min(Cold.size(), MaxReportedCold));
  std::map<NameTag, base::Duration> Result;
  for (const auto &[Until, Tag] : Cold)
    Result.emplace(Tag, Until - Now);
  return Result;
}

std::int64_t UpstreamTable::limitedCount() const {
  return std::count_if(
      Upstreams_.begin(), Upstreams_.end(),
      [](const auto &Named) { return Named.second->Limit_.isInForce(); });
}

std::int64_t UpstreamTable::coldCount(base::TimePoint Now) const {
  return std::count_if(
      Upstreams_.begin(), Upstreams_.end(),
      [Now](const auto &Named) { return Named.second->isCold(Now); });
}

UpstreamPtr UpstreamTable::find(const base::UpstreamName &Name) const {
  const auto Entry = Upstreams_.find(Name);
  return Entry == Upstreams_.end() ? nullptr : Entry->second;
}

void UpstreamTable::eraseEntry(const base::UpstreamName &Name) {
  const auto Entry = Upstreams_.find(Name);
  if (Entry == Upstreams_.end())
    return;
  Entry->second->IsListed_ = false;
  Upstreams_.erase(Entry);
}

void UpstreamTable::rebuildGroups() {
  Groups_.clear();
  for (const auto &[Name, State] : Upstreams_) {
    if (State->isLeaving() || EvacuatedZones_.contains(State->Entry_.Zone_))
      continue;
    Group &ServiceGroup = Groups_[State->Entry_.Service_];
    ServiceGroup.Usable_.push_back(State);
    ServiceGroup.Slots_[State->Region_] += State->Entry_.Slots_;
  }
}

} // namespace ebony::traffic
