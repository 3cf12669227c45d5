#include "quota/zonesettlement.h"

#include <algorithm>

namespace ebony::quota {

void ZoneSettlement::accept(const AccountStatement &Statement) {
  if (Statement.to() == Self_)
    Statements_.insert_or_assign(
        SenderAndDeparted(Statement.from(), Statement.departed()), Statement);
}

std::vector<base::VmIdentity>
ZoneSettlement::departed(const ZoneAllotment &Row) const {
  std::vector<base::VmIdentity> Departed;
  for (const ZoneMember &Member : Row.claimedBy(Self_))
    Departed.push_back(Member.vm());
  return Departed;
}

std::optional<SettlementResult>
ZoneSettlement::applyRow(const ZoneAllotment &Row, base::TimePoint Now) {
  for (const base::VmIdentity &Vm : departed(Row))
    DepartedSince_.emplace(Vm, Now);
  const auto IsListed = [&](const base::VmIdentity &Vm) {
    return Row.find(Vm) != nullptr;
  };
  if (!Pending_ || std::any_of(Pending_->departed().begin(),
                               Pending_->departed().end(), IsListed))
    return std::nullopt;
  std::optional<SettlementResult> Settled;
  Settled.swap(Pending_);
  for (const base::VmIdentity &Vm : Settled->departed()) {
    DepartedSince_.erase(Vm);
    std::erase_if(Statements_,
                  [&](const auto &Entry) { return Entry.first.second == Vm; });
  }
  return Settled;
}

std::vector<base::VmIdentity>
ZoneSettlement::membersWithoutStatement(const ZoneAllotment &Row) const {
  std::vector<base::VmIdentity> Missing;
  const std::vector<base::VmIdentity> Departed = departed(Row);
  for (const base::VmIdentity &From : Row.active()) {
    const bool LacksStatement =
        std::any_of(Departed.begin(), Departed.end(),
                    [&](const base::VmIdentity &DepartedVm) {
                      return Statements_.count({From, DepartedVm}) == 0;
                    });
    if (From != Self_ && LacksStatement)
      Missing.push_back(From);
  }
  return Missing;
}

std::vector<AccountStatement>
ZoneSettlement::statements(const ZoneAllotment &Row) const {
  std::vector<AccountStatement> All;
  for (const base::VmIdentity &From : Row.active())
    for (const base::VmIdentity &DepartedVm : departed(Row)) {
      const auto Found = Statements_.find({From, DepartedVm});
      if (Found != Statements_.end())
        All.push_back(Found->second);
    }
  return All;
}

std::optional<ZoneAllotment>
ZoneSettlement::proposeRow(const ZoneAllotment &Row, base::TimePoint Now) {
  const std::vector<base::VmIdentity> Departed = departed(Row);
  // A departed VM may have lent parts until the moment it departed.
  const bool LoansExpired = std::all_of(
      Departed.begin(), Departed.end(), [&](const base::VmIdentity &Vm) {
        const auto Since = DepartedSince_.find(Vm);
        return Since != DepartedSince_.end() &&
               Since->second + Terms_.reclaimDelay() <= Now;
      });
  if (Departed.empty() || !LoansExpired ||
      !membersWithoutStatement(Row).empty())
    return std::nullopt;
  QuotaHolding Drawn;
  for (const ZoneMember &Member : Row.claimedBy(Self_))
    Drawn = Drawn + Member.drawn();
  Pending_ = SettlementResult(Departed, Drawn, statements(Row));
  return Row.settle(Self_);
}

} // namespace ebony::quota
