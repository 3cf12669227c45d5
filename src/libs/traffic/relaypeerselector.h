#ifndef EBONY_TRAFFIC_RELAYPEERSELECTOR_H
#define EBONY_TRAFFIC_RELAYPEERSELECTOR_H

#include "base/randomengine.h"
#include "traffic/membertable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebony::traffic {

/// VM that takes over a request.
struct RelayPeer {
  std::string Name_;
  std::string CallerAddress_;

  friend bool operator==(const RelayPeer &, const RelayPeer &) = default;
};

/// Selects the VM to which a VM that reaches no upstream relays a request.
///
/// Load pattern: most VMs of a zone lose all upstreams under full load, and
/// their callers keep old answers of the directory for seconds.
///
/// VMs of the own region come first; among these, the one with the fewest
/// relayed requests in flight by its CPU share. When all of them have many, VMs
/// of other regions are used as well, so that none is flooded.
class RelayPeerSelector {
public:
  RelayPeerSelector(base::RegionName OwnRegion, base::RandomEngine Random)
      : OwnRegion_(std::move(OwnRegion)), Random_(Random) {}

  /// Returns a VM that reaches upstreams, in one of \p HomeRegions unless these
  /// are empty, and not among \p Tried; std::nullopt if there is none.
  std::optional<RelayPeer>
  select(const MemberTable &Members,
         const std::vector<base::RegionName> &HomeRegions,
         const std::vector<std::string> &Tried, base::TimePoint Now);

  void recordStart(const std::string &Name) { ++InFlight_[Name]; }
  void recordEnd(const std::string &Name);

private:
  /// Returns the relayed requests in flight for each core of a VM.
  double load(const MemberReport &Vm) const;

  base::RegionName OwnRegion_;
  base::RandomEngine Random_;
  std::map<std::string, int> InFlight_;
};

} // namespace ebony::traffic

#endif
