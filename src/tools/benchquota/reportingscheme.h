#ifndef EBONY_BENCHQUOTA_REPORTINGSCHEME_H
#define EBONY_BENCHQUOTA_REPORTINGSCHEME_H

#include "benchquota/fleetlayout.h"
#include "benchquota/scheme.h"
#include "quota/demandestimator.h"
#include "quota/tokenbucket.h"

#include <vector>

namespace ebony::benchquota {

/// A split of rate and burst among the VMs. Without an interval it is equal and
/// fixed; else each VM reports its demand to the first one, which answers with
/// a share in proportion.
class ReportingScheme final : public Scheme {
public:
  ReportingScheme(Network &Net, quota::QuotaLimits Limits,
                  std::optional<base::Duration> Interval);

  void offer(std::size_t Vm, base::TimePoint Now, Answer Done) override;
  void tick(base::TimePoint Now) override;

private:
  struct Vm {
    quota::TokenBucket Bucket_;
    quota::DemandForecast Demand_;
    std::int64_t Parts_;
  };

  void refill(Vm &One, base::TimePoint Now);
  void report(std::size_t From, base::TimePoint Now);
  std::int64_t shareOf(std::size_t One) const;

  Network &Net_;
  quota::QuotaLimits Limits_;
  std::optional<base::Duration> Interval_;
  std::vector<Vm> Vms_;
  std::vector<double> Reported_;
  base::TimePoint NextReport_;
};

} // namespace ebony::benchquota

#endif
