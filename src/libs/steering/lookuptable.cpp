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
  for (const membership::ZoneMember &One : Zone.Members_)
    if (One.takesNewWork())
      Members.push_back({.Vm_ = One.Status_.Vm_.address(),
                         .FreeCapacity_ = One.Status_.FreeCapacity_});
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
      Default_(Plan.Default_, healthyZones(Fleet)),
      Ring_(ringMembers(Fleet.OwnZone_), Loads) {
  const std::set<base::ZoneName> Healthy = healthyZones(Fleet);
  Sites_.reserve(Plan.Sites_.size());
  for (const SitePlan &One : Plan.Sites_)
    Sites_.emplace_back(One, Healthy);
  for (const membership::DigestEntry &One : Fleet.OtherZones_) {
    Others_[One.Digest_.Zone_] = One.Digest_.Relays_;
    if (One.Digest_.ServingVms_ < One.Digest_.LiveVms_)
      Changing_.insert(One.Digest_.Zone_);
  }
  for (const membership::ZoneMember &One : Fleet.OwnZone_.Members_)
    if (One.IsLive_ && One.IsLeaving_)
      Changing_.insert(OwnZone_);
}

std::set<base::ZoneName>
LookupTable::healthyZones(const membership::FleetView &Fleet) {
  std::set<base::ZoneName> Healthy;
  for (const membership::ZoneMember &One : Fleet.OwnZone_.Members_)
    if (One.takesNewWork())
      Healthy.insert(Fleet.OwnZone_.Zone_);
  for (const membership::DigestEntry &One : Fleet.OtherZones_)
    if (One.IsReachable_ && One.Digest_.ServingVms_ > 0)
      Healthy.insert(One.Digest_.Zone_);
  return Healthy;
}

const ZoneSelector &LookupTable::choiceOf(const ClientAddress &Client) const {
  const auto Site = Blocks_->find(Client);
  return Site && *Site < Sites_.size() ? Sites_[*Site] : Default_;
}

// Callers of another zone start at its relays; that zone's own look-up service
// then names its VMs by customer.
std::vector<base::VmAddress>
LookupTable::entryVms(const base::ZoneName &Zone,
                      const LookupQuery &Question) const {
  if (Zone == OwnZone_)
    return Ring_.preferredVms(Question.Customer_, Question.Client_.Key_,
                              Settings_.VmsPerAnswer_);
  std::vector<base::VmAddress> Vms = Others_.at(Zone);
  if (Vms.size() > 1) {
    const std::uint64_t Offset =
        base::stableHash(Question.Customer_.text(), Question.Client_.Key_) %
        Vms.size();
    std::rotate(Vms.begin(), Vms.begin() + static_cast<std::ptrdiff_t>(Offset),
                Vms.end());
  }
  return Vms;
}

// Spread over a fifth, so that callers of one moment don't all come back in
// another.
base::Duration LookupTable::timeToLive(const ZoneSelector &Choice,
                                       const base::ZoneName &Zone,
                                       std::uint64_t ClientKey) const {
  const bool IsChanging = Choice.isShifting() || Changing_.contains(Zone);
  const base::Duration Longest =
      IsChanging ? Settings_.ChangingTimeToLive_ : Settings_.SteadyTimeToLive_;
  const auto Spread = static_cast<std::uint64_t>(
      static_cast<double>(Longest.count()) * TimeToLiveSpread);
  const std::uint64_t Cut =
      base::mixBits(ClientKey ^ TimeToLiveSeed) % (Spread + 1);
  return Longest - base::Duration(Cut);
}

LookupAnswer LookupTable::answer(const LookupQuery &Question) const {
  const std::uint64_t Key = Question.Client_.Key_;
  const ZoneSelector &Choice = choiceOf(Question.Client_);
  const base::ZoneName *Zone = Choice.choose(Key);
  LookupAnswer Answer{.Zone_ = Zone ? *Zone : OwnZone_,
                      .PlanRevision_ = PlanRevision_,
                      .IsFallback_ = !Zone};
  Answer.EntryVms_ = entryVms(Answer.Zone_, Question);
  Answer.TimeToLive_ = Answer.IsFallback_
                           ? Settings_.ChangingTimeToLive_
                           : timeToLive(Choice, Answer.Zone_, Key);
  return Answer;
}

} // namespace ebony::steering
