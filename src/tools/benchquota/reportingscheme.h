#ifndef EBONY_BENCHQUOTA_REPORTINGSCHEME_H
#define EBONY_BENCHQUOTA_REPORTINGSCHEME_H

#include "benchquota/fleetlayout.h"
#include "benchquota/scheme.h"
#include "quota/demandforecast.h"
#include "quota/tokenbucket.h"

#include <vector>

namespace ebony::benchquota {

/// Splits rate and burst among the VMs. Without an interval the split is equal
/// and fixed; else each VM reports its demand to a coordinator, which answers
/// with a proportional share.
class ReportingScheme final : public Scheme {
public:
  ReportingScheme(Network &Net, quota::QuotaLimits Limits,
                  std::optional<base::Duration> Interval);

  void submit(std::size_t VmIndex, base::TimePoint Now,
              DecisionHandler OnDecision) override;
  void tick(base::TimePoint Now) override;

private:
  struct VmState {
    quota::TokenBucket Bucket_;
    quota::DemandForecast Demand_;
    std::int64_t Parts_;
  };

  void refill(VmState &Vm, base::TimePoint Now);
  void report(std::size_t From, base::TimePoint Now);
  std::int64_t shareOf(std::size_t VmIndex) const;

  Network &Net_;
  quota::QuotaLimits Limits_;
  std::optional<base::Duration> Interval_;
  std::vector<VmState> Vms_;
  std::vector<double> ReportedRates_;
  base::TimePoint NextReport_;
};

} // namespace ebony::benchquota

#endif
