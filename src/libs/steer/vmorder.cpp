#include "steer/vmorder.h"

#include "base/hashing.h"

#include <algorithm>
#include <tuple>

namespace ebony::steer {

namespace {

struct Ranked {
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
         const std::string &CustomerHint, std::uint64_t CallerKey,
         std::size_t Most) {
  std::vector<fleet::FleetMember> Result;
  for (const base::VmAddress &Vm :
       Ring.preferredVms(base::CustomerName(CustomerHint), CallerKey, Most))
    if (const fleet::FleetMember *One = Members.find(Vm))
      Result.push_back(*One);
  std::vector<Ranked> All;
  for (const fleet::FleetMember &One : Members.all())
    if (One.isUsable() && One.Vm_.zone() != Zone)
      All.push_back(
          {Configuration.latencyBetween(Zone, One.Vm_.zone()),
           base::stableHash(CustomerHint + "@" + One.Vm_.address().text()),
           One});
  std::sort(All.begin(), All.end(),
            [](const Ranked &Left, const Ranked &Right) {
              return Left.key() < Right.key();
            });
  for (const Ranked &One : All)
    if (Result.size() < Most)
      Result.push_back(One.Member_);
  return Result;
}

} // namespace ebony::steer
