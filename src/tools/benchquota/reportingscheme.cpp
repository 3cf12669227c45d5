#include "benchquota/reportingscheme.h"

#include <numeric>

namespace ebony::benchquota {

namespace {

constexpr std::size_t CoordinatorIndex = 0;
constexpr std::size_t ReportBytes = 24;
/// Demand assumed for every VM in addition to the reported one.
constexpr double MinRequestsPerSecond = 1;

} // namespace

ReportingScheme::ReportingScheme(Network &Net, quota::QuotaLimits Limits,
                                 std::optional<base::Duration> Interval)
    : Net_(Net), Limits_(Limits), Interval_(Interval),
      ReportedRates_(FleetLayout::Vms, 0.0) {
  const base::TimePoint Start{};
  for (std::size_t Index = 0; Index < FleetLayout::Vms; ++Index)
    Vms_.push_back({quota::TokenBucket(Start, 0), quota::DemandForecast(Start),
                    quota::WholeParts / std::int64_t(FleetLayout::Vms)});
}

void ReportingScheme::refill(VmState &Vm, base::TimePoint Now) {
  Vm.Bucket_.refill(Now, Limits_, Vm.Parts_, Limits_.capacityOf(Vm.Parts_));
}

void ReportingScheme::submit(std::size_t VmIndex, base::TimePoint Now,
                             DecisionHandler OnDecision) {
  auto &Vm = Vms_[VmIndex];
  Vm.Demand_.recordRequest(Now);
  refill(Vm, Now);
  OnDecision(Vm.Bucket_.take(quota::TokensPerRequest), Now);
}

std::int64_t ReportingScheme::shareOf(std::size_t VmIndex) const {
  const double Sum =
      std::accumulate(ReportedRates_.begin(), ReportedRates_.end(), 0.0) +
      MinRequestsPerSecond * double(ReportedRates_.size());
  return std::int64_t((ReportedRates_[VmIndex] + MinRequestsPerSecond) / Sum *
                      double(quota::WholeParts));
}

void ReportingScheme::report(std::size_t From, base::TimePoint Now) {
  const double Demand = Vms_[From].Demand_.peakRate(Now);
  Net_.send(From, CoordinatorIndex, ReportBytes,
            [this, From, Demand](base::TimePoint) {
              ReportedRates_[From] = Demand;
              const std::int64_t Parts = shareOf(From);
              Net_.send(CoordinatorIndex, From, ReportBytes,
                        [this, From, Parts](base::TimePoint Later) {
                          refill(Vms_[From], Later);
                          Vms_[From].Parts_ = Parts;
                        });
            });
}

void ReportingScheme::tick(base::TimePoint Now) {
  if (!Interval_ || Now < NextReport_)
    return;
  NextReport_ = Now + *Interval_;
  for (std::size_t Index = 0; Index < Vms_.size(); ++Index)
    report(Index, Now);
}

} // namespace ebony::benchquota
