#include "benchquota/gossipscheme.h"

#include <algorithm>

namespace ebony::benchquota {

GossipScheme::GossipScheme(Network &Net, quota::QuotaLimits Limits,
                           base::Duration Interval, std::uint64_t Seed)
    : Net_(Net), Rate_(double(Limits.rate()) / double(quota::TokensPerRequest)),
      Burst_(double(Limits.burst()) / double(quota::TokensPerRequest)),
      Interval_(Interval), Random_(Seed), Vms_(FleetLayout::Vms) {
  for (VmState &Vm : Vms_)
    Vm.Level_ = Burst_;
}

void GossipScheme::refill(VmState &Vm, base::TimePoint Now) const {
  const double Elapsed = base::toSeconds(Now - Vm.RefilledAt_);
  Vm.Level_ = std::min(Vm.Level_ + Rate_ * Elapsed, Burst_);
  Vm.RefilledAt_ = Now;
}

void GossipScheme::merge(VmState &Vm, const Counter &Received,
                         base::TimePoint Now) const {
  refill(Vm, Now);
  for (std::size_t Index = 0; Index < Received.size(); ++Index) {
    const std::int64_t NewAdmissions =
        std::max<std::int64_t>(Received[Index] - Vm.Counts_[Index], 0);
    Vm.Counts_[Index] += NewAdmissions;
    Vm.Level_ -= double(NewAdmissions);
  }
}

void GossipScheme::submit(std::size_t VmIndex, base::TimePoint Now,
                          DecisionHandler OnDecision) {
  auto &Vm = Vms_[VmIndex];
  refill(Vm, Now);
  const bool Admitted = Vm.Level_ >= 1;
  if (Admitted) {
    Vm.Level_ -= 1;
    ++Vm.Counts_[VmIndex];
  }
  OnDecision(Admitted, Now);
}

void GossipScheme::tick(base::TimePoint Now) {
  if (Now < NextGossip_)
    return;
  NextGossip_ = Now + Interval_;
  for (std::size_t From = 0; From < Vms_.size(); ++From) {
    const std::size_t To =
        (From + 1 + Random_.below(Vms_.size() - 1)) % Vms_.size();
    const Counter Counts = Vms_[From].Counts_;
    Net_.send(From, To, sizeof(Counter), [this, To, Counts](auto Later) {
      merge(Vms_[To], Counts, Later);
    });
  }
}

} // namespace ebony::benchquota
