#include "steer/ringcache.h"

#include <utility>

namespace ebony::steer {

namespace {

std::vector<steering::RingMember> usableVms(const fleet::MemberList &Members,
                                            const base::ZoneName &Zone) {
  std::vector<steering::RingMember> Vms;
  for (const fleet::FleetMember &Member : Members.all())
    if (Member.isUsable() && Member.Vm_.zone() == Zone)
      Vms.push_back({.Vm_ = Member.Vm_.address()});
  return Vms;
}

std::vector<steering::CustomerLoad>
customerLoads(const records::Configuration &Configuration) {
  std::vector<steering::CustomerLoad> Loads;
  for (const auto &[Name, Customer] :
       Configuration.all<records::CustomerRecord>())
    Loads.push_back(
        {.Customer_ = Customer.Name_, .Rate_ = Customer.RequestsPerSecond_});
  return Loads;
}

} // namespace

RingCache::RingCache(base::ZoneName Zone) : Zone_(std::move(Zone)) {}

std::shared_ptr<const steering::CustomerRing>
RingCache::ringFor(const fleet::MemberList &Members,
                   const records::Configuration &Configuration) {
  const std::lock_guard Lock(Mutex_);
  if (!Ring_ || MembersVersion_ != Members.version() ||
      Revision_ != Configuration.revision()) {
    Ring_ = std::make_shared<const steering::CustomerRing>(
        usableVms(Members, Zone_), customerLoads(Configuration));
    MembersVersion_ = Members.version();
    Revision_ = Configuration.revision();
  }
  return Ring_;
}

} // namespace ebony::steer
