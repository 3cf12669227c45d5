#ifndef EBONY_AGENT_ROLLOUTMONITOR_H
#define EBONY_AGENT_ROLLOUTMONITOR_H

#include "base/clock.h"
#include "config/revision.h"
#include "fleet/fleetstate.h"

#include <vector>

namespace ebony::agent {

/// Entry VMs grouped by whether they have applied a revision.
struct RolloutReport {
  std::vector<base::VmAddress> UpdatedVms_;
  std::vector<base::VmAddress> PendingVms_;

  friend bool operator==(const RolloutReport &,
                         const RolloutReport &) = default;
};

/// Waits until the entry VMs have applied a revision. Queries one agent of each
/// zone, which reports for its whole zone.
class RolloutMonitor {
public:
  RolloutMonitor(const fleet::FleetState &State, const base::Clock &Clock,
                 std::uint16_t AgentPort);

  /// Announces \p Revision to all agents and polls until all VMs have applied
  /// it or \p Timeout expires. Returns the last report.
  RolloutReport wait(config::Revision Revision, base::Duration Timeout) const;

private:
  void announce(config::Revision Revision) const;
  RolloutReport collectReport(config::Revision Revision) const;

  const fleet::FleetState &State_;
  const base::Clock &Clock_;
  std::uint16_t AgentPort_;
};

} // namespace ebony::agent

#endif
