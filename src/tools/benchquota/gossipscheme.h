#ifndef EBONY_BENCHQUOTA_GOSSIPSCHEME_H
#define EBONY_BENCHQUOTA_GOSSIPSCHEME_H

#include "base/randomengine.h"
#include "benchquota/fleetlayout.h"
#include "benchquota/scheme.h"

#include <array>
#include <vector>

namespace ebony::benchquota {

/// A state-based grow-only counter (G-Counter) of admissions with one entry per
/// VM, merged by maximum through gossip. Each VM admits while the sum it knows
/// of stays within rate and burst.
class GossipScheme final : public Scheme {
public:
  GossipScheme(Network &Net, quota::QuotaLimits Limits, base::Duration Interval,
               std::uint64_t Seed);

  void submit(std::size_t VmIndex, base::TimePoint Now,
              DecisionHandler OnDecision) override;
  void tick(base::TimePoint Now) override;

private:
  using Counter = std::array<std::int64_t, FleetLayout::Vms>;

  struct VmState {
    Counter Counts_{};
    double Level_ = 0;
    base::TimePoint RefilledAt_;
  };

  void refill(VmState &Vm, base::TimePoint Now) const;
  void merge(VmState &Vm, const Counter &Received, base::TimePoint Now) const;

  Network &Net_;
  double Rate_;
  double Burst_;
  base::Duration Interval_;
  base::RandomEngine Random_;
  std::vector<VmState> Vms_;
  base::TimePoint NextGossip_;
};

} // namespace ebony::benchquota

#endif
