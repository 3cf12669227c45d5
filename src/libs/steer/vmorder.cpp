#include "steer/vmorder.h"

#include "base/hashing.h"

#include <algorithm>
#include <tuple>

namespace ebony::steer {

namespace {

struct RankedMember {
  base::Duration Latency_{0};
  std::uint64_t Order_ = 0;
  fleet::FleetMember Member_;

  auto key() const { return std::tie(Latency_, Order_); }
};

} // namespace

std::vector<fleet::FleetMember>
orderVms(const fleet::MemberList &Members,
         const records::Configuration &Configuration,
         const base::ZoneName &Zone, const steering::CustomerRing &Ring,
         const std::string &CustomerHint, std::uint64_t CallerHash,
         std::size_t MaxCount) {
  std::vector<fleet::FleetMember> Result;
  for (const base::VmAddress &Vm : Ring.preferredVms(
           base::CustomerName(CustomerHint), CallerHash, MaxCount))
    if (const fleet::FleetMember *Member = Members.find(Vm))
      Result.push_back(*Member);
  std::vector<RankedMember> OtherZoneVms;
  for (const fleet::FleetMember &Member : Members.all())
    if (Member.isUsable() && Member.Vm_.zone() != Zone)
      OtherZoneVms.push_back(
          {Configuration.latencyBetween(Zone, Member.Vm_.zone()),
           base::stableHash(CustomerHint + "@" + Member.Vm_.address().text()),
           Member});
  std::sort(OtherZoneVms.begin(), OtherZoneVms.end(),
            [](const RankedMember &Left, const RankedMember &Right) {
              return Left.key() < Right.key();
            });
  for (const RankedMember &Ranked : OtherZoneVms)
    if (Result.size() < MaxCount)
      Result.push_back(Ranked.Member_);
  return Result;
}

} // namespace ebony::steer
