#include "steering/zoneselector.h"

#include "base/hashing.h"

#include <cmath>

namespace ebony::steering {

ZoneSelector::ZoneSelector(const SitePlan &Plan,
                           const std::set<base::ZoneName> &Healthy)
    : IsShifting_(Plan.IsShifting_) {
  for (const ZoneShare &Share : Plan.Shares_)
    if (Share.Weight_ > 0 && Healthy.contains(Share.Zone_))
      Candidates_.push_back({.Zone_ = Share.Zone_,
                             .Hash_ = base::stableHash(Share.Zone_.text()),
                             .Weight_ = static_cast<double>(Share.Weight_)});
}

const base::ZoneName *ZoneSelector::zoneFor(std::uint64_t ClientKey) const {
  constexpr double Scale = 1.0 / 18446744073709551616.0;
  if (Candidates_.size() == 1)
    return &Candidates_.front().Zone_;
  const Candidate *Best = nullptr;
  double LowestScore = 0;
  for (const Candidate &Current : Candidates_) {
    const auto Hash = static_cast<double>(
        base::mixBits(base::mixBits(ClientKey) ^ Current.Hash_));
    const double Score = -std::log((Hash + 1) * Scale) / Current.Weight_;
    if (!Best || Score < LowestScore) {
      Best = &Current;
      LowestScore = Score;
    }
  }
  return Best ? &Best->Zone_ : nullptr;
}

} // namespace ebony::steering
