#include "traffic/quotalenderselector.h"

#include <algorithm>

namespace ebony::traffic {

std::optional<std::string> QuotaLenderSelector::selectNext(
    const QuotaPlan &Plan, const MemberTable &Members,
    const base::CustomerName &Customer, const std::vector<std::string> &Asked,
    base::TimePoint Now) const {
  const auto Shares = Plan.Customers_.find(Customer);
  if (Shares == Plan.Customers_.end())
    return std::nullopt;
  std::optional<std::string> OtherRegionVm;
  for (const auto &[Vm, Share] : Shares->second) {
    if (Vm == OwnName_ || isEmpty(Customer, Vm, Now) ||
        !Members.isLive(Vm, Now) ||
        std::find(Asked.begin(), Asked.end(), Vm) != Asked.end())
      continue;
    if (Members.isInRegion(Vm, OwnRegion_))
      return Vm;
    if (!OtherRegionVm)
      OtherRegionVm = Vm;
  }
  return OtherRegionVm;
}

base::Duration
QuotaLenderSelector::retryDelay(const base::CustomerName &Customer,
                                base::TimePoint Now,
                                base::Duration Default) const {
  std::optional<base::Duration> Shortest;
  for (auto Entry = EmptyUntil_.lower_bound({Customer, std::string()});
       Entry != EmptyUntil_.end() && Entry->first.first == Customer; ++Entry)
    if (Entry->second > Now && (!Shortest || Entry->second - Now < *Shortest))
      Shortest = Entry->second - Now;
  return Shortest.value_or(Default);
}

bool QuotaLenderSelector::isEmpty(const base::CustomerName &Customer,
                                  const std::string &Vm,
                                  base::TimePoint Now) const {
  const auto Entry = EmptyUntil_.find({Customer, Vm});
  return Entry != EmptyUntil_.end() && Entry->second > Now;
}

} // namespace ebony::traffic
