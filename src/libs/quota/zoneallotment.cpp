#include "quota/zoneallotment.h"

#include <algorithm>

namespace ebony::quota {

ZoneAllotment ZoneAllotment::initial(std::int64_t Zones,
                                     std::int64_t FloorPercent) {
  const std::int64_t Parts = WholeParts / Zones;
  const std::int64_t Floor = Parts * FloorPercent / 100;
  return {{{Floor, Floor}, {Parts - Floor, Parts - Floor}}, {}};
}

ZoneAllotment ZoneAllotment::join(const base::VmIdentity &Vm,
                                  std::int64_t ExpectedVms) const {
  if (find(Vm))
    return *this;
  const std::int64_t JoinedVms = std::int64_t(Members_.size());
  const std::int64_t RemainingVms =
      std::max<std::int64_t>(ExpectedVms - JoinedVms, 1);
  const QuotaHolding Drawn = Free_.dividedBy(RemainingVms);
  std::vector<ZoneMember> Members = Members_;
  Members.emplace_back(Vm, Drawn, std::nullopt);
  return {Free_ - Drawn, std::move(Members)};
}

ZoneAllotment ZoneAllotment::claim(const base::VmIdentity &Departed,
                                   const base::VmIdentity &Claimer) const {
  // Departed VMs may have made transfers among each other, and only the sum
  // over all of them is known; so one VM settles for all. If this VM departs
  // too, its settlement may be incomplete, so its claims pass to the next
  // settler.
  base::VmIdentity Settler = Claimer;
  for (const ZoneMember &Member : Members_)
    if (Member.claimedBy() && Member.claimedBy() != Departed)
      Settler = *Member.claimedBy();
  std::vector<ZoneMember> Members;
  for (const ZoneMember &Member : Members_) {
    const bool IsClaimed =
        Member.vm() == Departed || Member.claimedBy() == Departed;
    Members.emplace_back(Member.vm(), Member.drawn(),
                         IsClaimed ? std::optional(Settler)
                                   : Member.claimedBy());
  }
  return {Free_, std::move(Members)};
}

ZoneAllotment ZoneAllotment::settle(const base::VmIdentity &Claimer) const {
  QuotaHolding ClaimedParts;
  for (const ZoneMember &Member : claimedBy(Claimer))
    ClaimedParts = ClaimedParts + Member.drawn();
  std::vector<ZoneMember> Members;
  for (const ZoneMember &Member : Members_) {
    if (Member.claimedBy() == Claimer)
      continue;
    const QuotaHolding Drawn =
        Member.vm() == Claimer ? Member.drawn() + ClaimedParts : Member.drawn();
    Members.emplace_back(Member.vm(), Drawn, Member.claimedBy());
  }
  return {Free_, std::move(Members)};
}

const ZoneMember *ZoneAllotment::find(const base::VmIdentity &Vm) const {
  const auto Found =
      std::find_if(Members_.begin(), Members_.end(),
                   [&](const ZoneMember &Member) { return Member.vm() == Vm; });
  return Found == Members_.end() ? nullptr : &*Found;
}

std::vector<base::VmIdentity> ZoneAllotment::active() const {
  std::vector<base::VmIdentity> Active;
  for (const ZoneMember &Member : Members_)
    if (!Member.claimedBy())
      Active.push_back(Member.vm());
  return Active;
}

std::vector<ZoneMember>
ZoneAllotment::claimedBy(const base::VmIdentity &Claimer) const {
  std::vector<ZoneMember> Claimed;
  for (const ZoneMember &Member : Members_)
    if (Member.claimedBy() == Claimer)
      Claimed.push_back(Member);
  return Claimed;
}

QuotaHolding ZoneAllotment::total() const {
  QuotaHolding Sum = Free_;
  for (const ZoneMember &Member : Members_)
    Sum = Sum + Member.drawn();
  return Sum;
}

} // namespace ebony::quota
