#include "load/report.h"

#include <iomanip>
#include <sstream>

namespace ebony::load {

namespace {

constexpr int NameWidth = 15;
constexpr int CountWidth = 9;

void addRow(std::ostream &Out, const CustomerReport &Row) {
  Out << std::left << std::setw(NameWidth) << Row.Name_ << std::right;
  for (std::int64_t Count : {Row.Offered_, Row.Served_, Row.RefusedWithinRate_,
                             Row.RefusedOverRate_, Row.Unknown_, Row.Errors_})
    Out << std::setw(CountWidth) << Count;
  Out << std::fixed << std::setprecision(1);
  for (double Latency :
       {Row.Latency_.P50_, Row.Latency_.P99_, Row.Latency_.P999_})
    Out << std::setw(CountWidth) << Latency;
  Out << "\n";
}

void addHeader(std::ostream &Out) {
  Out << std::left << std::setw(NameWidth) << "customer" << std::right;
  for (const char *Title : {"offered", "served", "ref.in", "ref.over",
                            "unknown", "errors", "p50 ms", "p99 ms", "p99.9"})
    Out << std::setw(CountWidth) << Title;
  Out << "\n";
}

void addViolations(std::ostream &Out, const Violations &Found) {
  Out << "over rate " << Found.OverRate_ << ", ran twice " << Found.RanTwice_
      << ", false \"not run\" " << Found.FalseNotRun_ << ", slot overruns "
      << Found.SlotOverruns_ << ", key leaks " << Found.KeyLeaks_
      << ", mismatched answers " << Found.MismatchedAnswers_
      << ", cut answers taken as whole " << Found.TruncatedAnswers_ << "\n"
      << "violations: " << Found.total() << "\n";
}

} // namespace

std::string toText(const Report &Result) {
  std::ostringstream Out;
  Out << "workload " << Result.Workload_ << ", " << Result.Seconds_
      << " s; latency from the intended arrival; ref.in: refused within rate, "
         "ref.over: refused over rate\n";
  addHeader(Out);
  for (const CustomerReport &Row : Result.Customers_)
    addRow(Out, Row);
  addRow(Out, Result.Total_);
  Out << std::fixed << std::setprecision(2);
  Out << "headroom (busiest target):";
  for (const ServiceReport &Service : Result.Services_)
    Out << " " << Service.Name_ << " " << Service.Headroom_ << " ("
        << Service.LeastHeadroom_ << ")";
  Out << "\nworst-served customer: " << Result.WorstServed_
      << "; load tool's own lateness p99 " << Result.LatenessMs_ << " ms\n";
  addViolations(Out, Result.Violations_);
  return Out.str();
}

} // namespace ebony::load
