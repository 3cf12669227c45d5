#ifndef EBONY_BENCHQUOTA_ESCROWSCHEME_H
#define EBONY_BENCHQUOTA_ESCROWSCHEME_H

#include "benchquota/fleetlayout.h"
#include "benchquota/scheme.h"
#include "quota/quotaexchange.h"

#include <deque>
#include <vector>

namespace ebony::benchquota {

/// Runs the product's quota exchange on every VM. Waiting requests are queued
/// in order of arrival.
class EscrowScheme final : public Scheme {
public:
  EscrowScheme(Network &Net, quota::QuotaLimits Limits,
               quota::ExchangePolicy Policy, std::int64_t FloorPercent);

  void submit(std::size_t VmIndex, base::TimePoint Now,
              DecisionHandler OnDecision) override;
  void tick(base::TimePoint Now) override;

private:
  struct QueuedRequest {
    base::TimePoint QueuedAt_;
    DecisionHandler OnDecision_;
  };

  struct VmState {
    quota::QuotaExchange Exchange_;
    std::deque<QueuedRequest> Queue_;
  };

  void serveQueue(VmState &Vm, base::TimePoint Now);
  void send(const std::vector<quota::QuotaMessage> &Messages);

  Network &Net_;
  quota::ExchangePolicy Policy_;
  std::vector<VmState> Vms_;
};

} // namespace ebony::benchquota

#endif
