#include "traffic/entrydirectory.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

std::vector<std::string> EntryDirectory::resolve(const base::RegionName &Region,
                                                 const MemberReport &Own,
                                                 const MemberTable &Members,
                                                 base::TimePoint Now) {
  std::vector<const MemberReport *> All = Members.live(Now);
  All.push_back(&Own);
  std::erase_if(All, [](const MemberReport *One) {
    return !One->IsReady_ || One->IsLeaving_;
  });
  const auto IsNear = [&](const MemberReport *One) {
    return One->Region_ == Region;
  };
  if (std::any_of(All.begin(), All.end(), IsNear))
    std::erase_if(All, std::not_fn(IsNear));
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
