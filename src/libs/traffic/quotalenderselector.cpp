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
  std::optional<std::string> Far;
  for (const auto &[Vm, Share] : Shares->second) {
    if (Vm == OwnName_ || isEmpty(Customer, Vm, Now) ||
        !Members.isLive(Vm, Now) ||
        std::find(Asked.begin(), Asked.end(), Vm) != Asked.end())
      continue;
    if (Members.isInRegion(Vm, OwnRegion_))
      return Vm;
    if (!Far)
      Far = Vm;
  }
  return Far;
}

base::Duration
QuotaLenderSelector::retryDelay(const base::CustomerName &Customer,
                                base::TimePoint Now,
                                base::Duration Default) const {
  std::optional<base::Duration> Least;
  for (auto One = EmptyUntil_.lower_bound({Customer, std::string()});
       One != EmptyUntil_.end() && One->first.first == Customer; ++One)
    if (One->second > Now && (!Least || One->second - Now < *Least))
      Least = One->second - Now;
  return Least.value_or(Default);
}

bool QuotaLenderSelector::isEmpty(const base::CustomerName &Customer,
                                  const std::string &Vm,
                                  base::TimePoint Now) const {
  const auto Entry = EmptyUntil_.find({Customer, Vm});
  return Entry != EmptyUntil_.end() && Entry->second > Now;
}

} // namespace ebony::traffic
