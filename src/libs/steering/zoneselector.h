#ifndef EBONY_STEERING_ZONESELECTOR_H
#define EBONY_STEERING_ZONESELECTOR_H

#include "steering/siteplan.h"

#include <cstdint>
#include <set>
#include <vector>

namespace ebony::steering {

/// Selects the zone of a client among the healthy zones by the weights of a
/// site's plan. Uses weighted rendezvous hashing, so that a changed weight or a
/// lost zone moves no more clients than necessary.
class ZoneSelector {
public:
  ZoneSelector(const SitePlan &Plan, const std::set<base::ZoneName> &Healthy);

  /// Returns the zone of the client with \p ClientKey, or null when no zone of
  /// the plan is healthy.
  const base::ZoneName *zoneFor(std::uint64_t ClientKey) const;

  bool isShifting() const { return IsShifting_; }

private:
  struct Candidate {
    base::ZoneName Zone_;
    std::uint64_t Hash_;
    double Weight_;
  };

  std::vector<Candidate> Candidates_;
  bool IsShifting_;
};

} // namespace ebony::steering

#endif
