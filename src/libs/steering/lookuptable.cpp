#include "steering/lookuptable.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace ebony::steering {

namespace {

constexpr std::uint64_t TimeToLiveSeed = 1;
constexpr double TimeToLiveSpread = 0.2;

std::vector<RingMember> ringMembers(const membership::ZoneView &Zone) {
  std::vector<RingMember> Members;
  for (const membership::ZoneMember &Member : Zone.Members_)
    if (Member.takesNewWork())
      Members.push_back({.Vm_ = Member.Status_.Vm_.address(),
                         .FreeCapacity_ = Member.Status_.FreeCapacity_});
  return Members;
}

} // namespace

LookupTable::LookupTable(std::shared_ptr<const ClientBlockMap> Blocks,
                         const SteeringPlan &Plan,
                         const membership::FleetView &Fleet,
                         const std::vector<CustomerLoad> &Loads,
                         const LookupSettings &Settings)
    : Blocks_(std::move(Blocks)), PlanRevision_(Plan.Revision_),
      Settings_(Settings), OwnZone_(Fleet.OwnZone_.Zone_),
      DefaultSelector_(Plan.Default_, healthyZones(Fleet)),
      Ring_(ringMembers(Fleet.OwnZone_), Loads) {
  const std::set<base::ZoneName> Healthy = healthyZones(Fleet);
  Selectors_.reserve(Plan.Sites_.size());
  for (const SitePlan &Site : Plan.Sites_)
    Selectors_.emplace_back(Site, Healthy);
  for (const membership::DigestEntry &Entry : Fleet.OtherZones_) {
    OtherZoneRelays_[Entry.Digest_.Zone_] = Entry.Digest_.Relays_;
    if (Entry.Digest_.ServingVms_ < Entry.Digest_.LiveVms_)
      ChangingZones_.insert(Entry.Digest_.Zone_);
  }
  for (const membership::ZoneMember &Member : Fleet.OwnZone_.Members_)
    if (Member.IsLive_ && Member.IsLeaving_)
      ChangingZones_.insert(OwnZone_);
}

std::set<base::ZoneName>
LookupTable::healthyZones(const membership::FleetView &Fleet) {
  std::set<base::ZoneName> Healthy;
  for (const membership::ZoneMember &Member : Fleet.OwnZone_.Members_)
    if (Member.takesNewWork())
      Healthy.insert(Fleet.OwnZone_.Zone_);
  for (const membership::DigestEntry &Entry : Fleet.OtherZones_)
    if (Entry.IsReachable_ && Entry.Digest_.ServingVms_ > 0)
      Healthy.insert(Entry.Digest_.Zone_);
  return Healthy;
}

const ZoneSelector &
LookupTable::selectorFor(const ClientAddress &Client) const {
  const auto Site = Blocks_->find(Client);
  return Site && *Site < Selectors_.size() ? Selectors_[*Site]
                                           : DefaultSelector_;
}

// Callers sent to another zone start at its relays. That zone's own lookup
// service then returns its VMs for the customer.
std::vector<base::VmAddress>
LookupTable::entryVms(const base::ZoneName &Zone,
                      const LookupQuery &Query) const {
  if (Zone == OwnZone_)
    return Ring_.preferredVms(Query.Customer_, Query.Client_.Key_,
                              Settings_.VmsPerAnswer_);
  std::vector<base::VmAddress> Vms = OtherZoneRelays_.at(Zone);
  if (Vms.size() > 1) {
    const std::uint64_t Offset =
        base::stableHash(Query.Customer_.text(), Query.Client_.Key_) %
        Vms.size();
    std::rotate(Vms.begin(), Vms.begin() + static_cast<std::ptrdiff_t>(Offset),
                Vms.end());
  }
  return Vms;
}

// Reduced by up to a fifth, so that callers that look up at the same time don't
// all return at the same time.
base::Duration LookupTable::timeToLive(const ZoneSelector &Selector,
                                       const base::ZoneName &Zone,
                                       std::uint64_t ClientKey) const {
  const bool IsChanging =
      Selector.isShifting() || ChangingZones_.contains(Zone);
  const base::Duration MaxTimeToLive =
      IsChanging ? Settings_.ChangingTimeToLive_ : Settings_.SteadyTimeToLive_;
  const auto MaxReduction = static_cast<std::uint64_t>(
      static_cast<double>(MaxTimeToLive.count()) * TimeToLiveSpread);
  const std::uint64_t Reduction =
      base::mixBits(ClientKey ^ TimeToLiveSeed) % (MaxReduction + 1);
  return MaxTimeToLive - base::Duration(Reduction);
}

LookupAnswer LookupTable::answer(const LookupQuery &Query) const {
  const std::uint64_t Key = Query.Client_.Key_;
  const ZoneSelector &Selector = selectorFor(Query.Client_);
  const base::ZoneName *Zone = Selector.zoneFor(Key);
  LookupAnswer Answer{.Zone_ = Zone ? *Zone : OwnZone_,
                      .PlanRevision_ = PlanRevision_,
                      .IsFallback_ = !Zone};
  Answer.EntryVms_ = entryVms(Answer.Zone_, Query);
  Answer.TimeToLive_ = Answer.IsFallback_
                           ? Settings_.ChangingTimeToLive_
                           : timeToLive(Selector, Answer.Zone_, Key);
  return Answer;
}

} // namespace ebony::steering
