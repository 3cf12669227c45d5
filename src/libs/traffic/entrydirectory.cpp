#include "traffic/entrydirectory.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace ebony::traffic {

namespace {

using Reports = std::vector<const MemberReport *>;

/// Keeps only the VMs that satisfy \p Accept, or all if none does.
template <typename Predicate>
void preferMatching(Reports &Candidates, const Predicate &Accept) {
  if (std::any_of(Candidates.begin(), Candidates.end(), Accept))
    std::erase_if(Candidates, std::not_fn(Accept));
}

} // namespace

std::vector<std::string> EntryDirectory::resolve(const base::RegionName &Region,
                                                 const MemberReport &OwnReport,
                                                 const MemberTable &Members,
                                                 base::TimePoint Now) {
  Reports Candidates = Members.live(Now);
  Candidates.push_back(&OwnReport);
  std::erase_if(Candidates, [](const MemberReport *Report) {
    return !Report->IsReady_ || Report->IsLeaving_;
  });
  // A VM with stale store data refuses requests with keys, so a more distant VM
  // is better. If none is fresh, all are equal again.
  preferMatching(Candidates,
                 [](const MemberReport *Report) { return Report->IsCurrent_; });
  // A VM that reaches no upstream relays requests, which takes longer.
  preferMatching(Candidates, [](const MemberReport *Report) {
    return !Report->ReachesNoUpstream_;
  });
  preferMatching(Candidates, [&](const MemberReport *Report) {
    return Report->Region_ == Region;
  });
  // Weighted sampling without replacement: the largest keys are selected.
  std::vector<std::pair<double, const MemberReport *>> Weighted;
  for (const MemberReport *Report : Candidates)
    Weighted.emplace_back(std::log(std::max(Random_.unit(), 1e-12)) /
                              std::max(Report->CorePermille_, 1),
                          Report);
  std::sort(Weighted.begin(), Weighted.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<std::string> Result;
  for (const auto &[Key, Report] : Weighted)
    if (Result.size() < MaxAddresses_)
      Result.push_back(Report->CallerAddress_);
  return Result;
}

} // namespace ebony::traffic
