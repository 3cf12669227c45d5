#include "load/reportbuilder.h"

#include "load/ledgeraudit.h"
#include "load/rateaudit.h"
#include "load/tokenbucket.h"

#include <algorithm>
#include <map>
#include <optional>

namespace ebony::load {

namespace {

bool isRefused(const RequestRecord &Record) {
  return Record.Outcome_ == Outcome::NotRun || Record.Outcome_ == Outcome::NoVm;
}

// Target "status-3" belongs to service "status".
std::string serviceOf(const std::string &Target) {
  return Target.substr(0, Target.rfind('-'));
}

std::map<std::string, double> busyByTarget(const Ledger &Observed) {
  std::map<std::string, double> Busy;
  for (const TargetUsage &Target : Observed.Targets_)
    Busy[Target.Name_] = Target.BusySeconds_;
  return Busy;
}

std::vector<base::Duration>
servedLatencies(const std::vector<RequestRecord> &Records,
                std::optional<std::size_t> Customer) {
  std::vector<base::Duration> Latencies;
  for (const RequestRecord &Record : Records)
    if (Record.Outcome_ == Outcome::Served &&
        (!Customer || Record.Customer_ == *Customer))
      Latencies.push_back(Record.Done_ - Record.Intended_);
  return Latencies;
}

double latenessMs(const std::vector<RequestRecord> &Records) {
  std::vector<base::Duration> Latencies;
  Latencies.reserve(Records.size());
  for (const RequestRecord &Record : Records)
    Latencies.push_back(Record.Started_ - Record.Intended_);
  return summarize(std::move(Latencies)).P99_;
}

} // namespace

const FleetCustomer *ReportBuilder::limitsOf(std::size_t Customer) const {
  const std::string &Name = Workload_.Customers_[Customer].Customer_;
  const auto Found =
      std::ranges::find(Fleet_.Customers_, Name, &FleetCustomer::Name_);
  return Found == Fleet_.Customers_.end() ? nullptr : &*Found;
}

Report ReportBuilder::build(const std::vector<RequestRecord> &Records,
                            const Ledger &Before, const Ledger &After) const {
  Report Result;
  Result.Workload_ = Workload_.Name_;
  Result.Seconds_ = base::toSeconds(Span_);
  for (std::size_t Index = 0; Index < Workload_.Customers_.size(); ++Index)
    Result.Customers_.push_back(customerReport(Records, Index));
  Result.Total_ = totalReport(Records, Result.Customers_);
  Result.Services_ = serviceReports(Before, After);
  const auto Worst = std::ranges::min_element(Result.Customers_, {},
                                              &CustomerReport::ServedShare_);
  if (Worst != Result.Customers_.end())
    Result.WorstServed_ = Worst->Name_;
  Result.LatenessMs_ = latenessMs(Records);
  Result.Violations_ = countViolations(Records, Before, After);
  return Result;
}

// A refusal within the rate consumes a token too, so that wrongful refusals
// and served requests together never exceed the rate and burst.
CustomerReport
ReportBuilder::customerReport(const std::vector<RequestRecord> &Records,
                              std::size_t Customer) const {
  CustomerReport Row;
  Row.Name_ = Workload_.Customers_[Customer].Customer_;
  const FleetCustomer *Limits = limitsOf(Customer);
  const double Rate = Limits ? Limits->RequestsPerSecond_ : 0;
  const double Burst = Limits ? Limits->BurstRequests_ : 0;
  TokenBucket Bucket(Rate, Burst);
  for (const RequestRecord &Record : Records) {
    if (Record.Customer_ != Customer)
      continue;
    ++Row.Offered_;
    const bool WithinRate = Bucket.tryConsume(Record.Intended_);
    if (isRefused(Record))
      ++(WithinRate ? Row.RefusedWithinRate_ : Row.RefusedOverRate_);
    Row.Served_ += Record.Outcome_ == Outcome::Served ? 1 : 0;
    Row.Unknown_ += Record.Outcome_ == Outcome::Unknown ? 1 : 0;
    Row.Errors_ += Record.Outcome_ == Outcome::Complete ? 1 : 0;
  }
  Row.Latency_ = summarize(servedLatencies(Records, Customer));
  const double Entitled = std::min(static_cast<double>(Row.Offered_),
                                   Rate * base::toSeconds(Span_) + Burst);
  Row.ServedShare_ =
      Entitled > 0 ? static_cast<double>(Row.Served_) / Entitled : 1;
  return Row;
}

CustomerReport
ReportBuilder::totalReport(const std::vector<RequestRecord> &Records,
                           const std::vector<CustomerReport> &Rows) const {
  CustomerReport Total;
  Total.Name_ = "total";
  Total.ServedShare_ = 1;
  for (const CustomerReport &Row : Rows) {
    Total.Offered_ += Row.Offered_;
    Total.Served_ += Row.Served_;
    Total.RefusedWithinRate_ += Row.RefusedWithinRate_;
    Total.RefusedOverRate_ += Row.RefusedOverRate_;
    Total.Unknown_ += Row.Unknown_;
    Total.Errors_ += Row.Errors_;
    Total.ServedShare_ = std::min(Total.ServedShare_, Row.ServedShare_);
  }
  Total.Latency_ = summarize(servedLatencies(Records, std::nullopt));
  return Total;
}

int ReportBuilder::countOverRateRequests(
    const std::vector<RequestRecord> &Records, std::size_t Customer) const {
  const FleetCustomer *Limits = limitsOf(Customer);
  std::vector<AdmissionWindow> Served;
  for (const RequestRecord &Record : Records)
    if (Record.Customer_ == Customer && Record.Outcome_ == Outcome::Served)
      Served.push_back({Record.Sent_, Record.Answered_});
  if (!Limits)
    return static_cast<int>(Served.size());
  return countOverRate(std::move(Served), Limits->RequestsPerSecond_,
                       Limits->BurstRequests_);
}

Violations
ReportBuilder::countViolations(const std::vector<RequestRecord> &Records,
                               const Ledger &Before,
                               const Ledger &After) const {
  Violations Found;
  for (std::size_t Index = 0; Index < Workload_.Customers_.size(); ++Index)
    Found.OverRate_ += countOverRateRequests(Records, Index);
  Found.RanTwice_ = countRanTwice(After) - countRanTwice(Before);
  Found.FalseNotRun_ = countFalseNotRun(Records, After);
  Found.SlotOverruns_ = After.SlotViolations_ - Before.SlotViolations_;
  Found.KeyLeaks_ = After.KeyLeaks_ - Before.KeyLeaks_;
  for (const RequestRecord &Record : Records) {
    Found.MismatchedAnswers_ += Record.Mismatched_ ? 1 : 0;
    Found.TruncatedAnswers_ += Record.Truncated_ ? 1 : 0;
  }
  return Found;
}

std::vector<ServiceReport>
ReportBuilder::serviceReports(const Ledger &Before, const Ledger &After) const {
  struct ServiceUsage {
    double Busy_ = 0;
    double Capacity_ = 0;
    double LeastHeadroom_ = 1;
  };
  const auto BusyBefore = busyByTarget(Before);
  std::map<std::string, ServiceUsage> UsageByService;
  for (const TargetUsage &Target : After.Targets_) {
    const auto Found = BusyBefore.find(Target.Name_);
    const double Busy =
        Target.BusySeconds_ - (Found == BusyBefore.end() ? 0 : Found->second);
    const double Capacity =
        static_cast<double>(Target.Slots_) * base::toSeconds(Span_);
    ServiceUsage &Usage = UsageByService[serviceOf(Target.Name_)];
    Usage.Busy_ += Busy;
    Usage.Capacity_ += Capacity;
    Usage.LeastHeadroom_ = std::min(Usage.LeastHeadroom_, 1 - Busy / Capacity);
  }
  std::vector<ServiceReport> Reports;
  Reports.reserve(UsageByService.size());
  for (const auto &[Name, Usage] : UsageByService)
    Reports.push_back(
        {Name, 1 - Usage.Busy_ / Usage.Capacity_, Usage.LeastHeadroom_});
  return Reports;
}

} // namespace ebony::load
