#include "traffic/relaypeerselector.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Relayed requests in flight per core above which a VM of the own region is not
// preferred to those of other regions.
constexpr double MaxNearLoad = 200;

bool isUsable(const MemberReport &Vm,
              const std::vector<base::RegionName> &HomeRegions,
              const std::vector<std::string> &Tried) {
  const bool IsHome =
      HomeRegions.empty() || std::find(HomeRegions.begin(), HomeRegions.end(),
                                       Vm.Region_) != HomeRegions.end();
  return IsHome && Vm.IsReady_ && !Vm.IsLeaving_ && Vm.IsCurrent_ &&
         !Vm.ReachesNoUpstream_ &&
         std::find(Tried.begin(), Tried.end(), Vm.Name_) == Tried.end();
}

} // namespace

std::optional<RelayPeer>
RelayPeerSelector::select(const MemberTable &Members,
                          const std::vector<base::RegionName> &HomeRegions,
                          const std::vector<std::string> &Tried,
                          base::TimePoint Now) {
  struct Candidate {
    bool IsFar_ = false;
    double Load_ = 0;
    double Tie_ = 0;
    const MemberReport *Vm_ = nullptr;
  };
  std::optional<Candidate> Best;
  for (const MemberReport *Vm : Members.live(Now)) {
    if (!isUsable(*Vm, HomeRegions, Tried))
      continue;
    const double Load = load(*Vm);
    const Candidate One{Vm->Region_ != OwnRegion_ || Load > MaxNearLoad, Load,
                        Random_.unit(), Vm};
    if (!Best || std::tie(One.IsFar_, One.Load_, One.Tie_) <
                     std::tie(Best->IsFar_, Best->Load_, Best->Tie_))
      Best = One;
  }
  if (!Best)
    return std::nullopt;
  return RelayPeer{Best->Vm_->Name_, Best->Vm_->CallerAddress_};
}

void RelayPeerSelector::recordEnd(const std::string &Name) {
  const auto Entry = InFlight_.find(Name);
  if (Entry != InFlight_.end() && --Entry->second <= 0)
    InFlight_.erase(Entry);
}

double RelayPeerSelector::load(const MemberReport &Vm) const {
  constexpr double Permille = 1000;
  const auto Entry = InFlight_.find(Vm.Name_);
  const int Count = Entry == InFlight_.end() ? 0 : Entry->second;
  return (Count + 1) * Permille / std::max(Vm.CorePermille_, 1);
}

} // namespace ebony::traffic
