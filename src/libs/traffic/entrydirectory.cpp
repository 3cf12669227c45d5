#include "traffic/entrydirectory.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace ebony::traffic {

namespace {

using Reports = std::vector<const MemberReport *>;

/// Drops the VMs that do not satisfy \p Accept, unless none does.
template <typename Predicate>
void keepIfAny(Reports &All, const Predicate &Accept) {
  if (std::any_of(All.begin(), All.end(), Accept))
    std::erase_if(All, std::not_fn(Accept));
}

} // namespace

std::vector<std::string> EntryDirectory::resolve(const base::RegionName &Region,
                                                 const MemberReport &Own,
                                                 const MemberTable &Members,
                                                 base::TimePoint Now) {
  Reports All = Members.live(Now);
  All.push_back(&Own);
  std::erase_if(All, [](const MemberReport *One) {
    return !One->IsReady_ || One->IsLeaving_;
  });
  // A VM without fresh knowledge refuses keys, so one farther off is better;
  // when none is fresh, all are equally good again.
  keepIfAny(All, [](const MemberReport *One) { return One->IsCurrent_; });
  keepIfAny(All,
            [&](const MemberReport *One) { return One->Region_ == Region; });
  // Weighted sample without replacement: the largest keys win.
  std::vector<std::pair<double, const MemberReport *>> Keyed;
  for (const MemberReport *One : All)
    Keyed.emplace_back(std::log(std::max(Random_.unit(), 1e-12)) /
                           std::max(One->CorePermille_, 1),
                       One);
  std::sort(Keyed.begin(), Keyed.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<std::string> Result;
  for (const auto &[Key, One] : Keyed)
    if (Result.size() < Most_)
      Result.push_back(One->CallerAddress_);
  return Result;
}

} // namespace ebony::traffic
