#ifndef EBONY_VM_REACHABILITYPROBER_H
#define EBONY_VM_REACHABILITYPROBER_H

#include "vm/upstreamprobe.h"

#include <memory>
#include <vector>

namespace ebony::vm {

/// Opens connections to upstreams of all zones when
/// traffic::UpstreamReachability asks for them, and logs its decisions.
class ReachabilityProber {
public:
  ReachabilityProber(VmState &State, base::RandomEngine Random)
      : State_(State), Random_(Random) {}

  /// Starts a round of probes if one is due. Call it at each tick.
  void tick();

private:
  struct Round {
    traffic::ProbeRound Outcome_;
    std::size_t Pending_ = 0;
  };

  std::vector<traffic::UpstreamPtr> selectUpstreams();
  asynckit::awaitable<void> probe(traffic::UpstreamPtr Upstream,
                                  std::shared_ptr<Round> Current);
  void finish(const traffic::ProbeRound &Outcome);

  VmState &State_;
  base::RandomEngine Random_;
};

} // namespace ebony::vm

#endif
