#ifndef EBONY_LOAD_REPORTBUILDER_H
#define EBONY_LOAD_REPORTBUILDER_H

#include "load/fleet.h"
#include "load/ledger.h"
#include "load/report.h"
#include "load/requestrecord.h"
#include "load/workload.h"

#include <vector>

namespace ebony::load {

/// Evaluates one run from its records and the ledgers before and after it.
class ReportBuilder {
public:
  /// All arguments must outlive the builder.
  ReportBuilder(const Fleet &TargetFleet, const Workload &Load,
                base::Duration Span)
      : Fleet_(TargetFleet), Workload_(Load), Span_(Span) {}

  /// Builds the report. \p Records must be sorted by intended arrival.
  Report build(const std::vector<RequestRecord> &Records, const Ledger &Before,
               const Ledger &After) const;

private:
  CustomerReport customerReport(const std::vector<RequestRecord> &Records,
                                std::size_t Customer) const;
  CustomerReport totalReport(const std::vector<RequestRecord> &Records,
                             const std::vector<CustomerReport> &Rows) const;
  Violations countViolations(const std::vector<RequestRecord> &Records,
                             const Ledger &Before, const Ledger &After) const;
  int countOverRateRequests(const std::vector<RequestRecord> &Records,
                            std::size_t Customer) const;
  std::vector<ServiceReport> serviceReports(const Ledger &Before,
                                            const Ledger &After) const;
  const FleetCustomer *limitsOf(std::size_t Customer) const;

  const Fleet &Fleet_;
  const Workload &Workload_;
  base::Duration Span_;
};

} // namespace ebony::load

#endif
