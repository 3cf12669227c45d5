#ifndef EBONY_STEERING_ZONESELECTOR_H
#define EBONY_STEERING_ZONESELECTOR_H

#include "steering/siteplan.h"

#include <cstdint>
#include <set>
#include <vector>

namespace ebony::steering {

/// Choice of a client's zone by a site's weights among the healthy zones.
/// Weighted rendezvous hashing: a changed weight or lost zone moves only the
/// clients that have to move.
class ZoneSelector {
public:
  ZoneSelector(const SitePlan &Plan, const std::set<base::ZoneName> &Healthy);

  /// Zone for the client with \p ClientKey; null when no zone of the plan is
  /// healthy.
  const base::ZoneName *choose(std::uint64_t ClientKey) const;

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
