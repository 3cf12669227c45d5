#include "load/comparison.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace ebony::load {

namespace {

constexpr int MeasureWidth = 40;
constexpr int ValueWidth = 14;

void addLine(std::ostream &Out, const std::string &Measure, double First,
             double Second) {
  Out << std::left << std::setw(MeasureWidth) << Measure << std::right
      << std::fixed << std::setprecision(2) << std::setw(ValueWidth) << First
      << std::setw(ValueWidth) << Second << std::setw(ValueWidth)
      << Second - First << "\n";
}

void addCustomer(std::ostream &Out, const CustomerReport &First,
                 const CustomerReport &Second) {
  struct Measure {
    const char *Name_;
    double First_;
    double Second_;
  };
  const auto Count = [](std::int64_t Value) {
    return static_cast<double>(Value);
  };
  const Measure Measures[] = {
      {" offered", Count(First.Offered_), Count(Second.Offered_)},
      {" served", Count(First.Served_), Count(Second.Served_)},
      {" refused within rate", Count(First.RefusedWithinRate_),
       Count(Second.RefusedWithinRate_)},
      {" refused over rate", Count(First.RefusedOverRate_),
       Count(Second.RefusedOverRate_)},
      {" unknown", Count(First.Unknown_), Count(Second.Unknown_)},
      {" p50 ms", First.Latency_.P50_, Second.Latency_.P50_},
      {" p99 ms", First.Latency_.P99_, Second.Latency_.P99_},
      {" p99.9 ms", First.Latency_.P999_, Second.Latency_.P999_},
      {" served share", First.ServedShare_, Second.ServedShare_},
  };
  for (const Measure &Row : Measures)
    addLine(Out, First.Name_ + Row.Name_, Row.First_, Row.Second_);
}

} // namespace

std::string formatComparison(const Report &First, const Report &Second) {
  std::ostringstream Out;
  Out << std::left << std::setw(MeasureWidth) << "measure" << std::right
      << std::setw(ValueWidth) << First.Workload_.substr(0, ValueWidth - 1)
      << std::setw(ValueWidth) << Second.Workload_.substr(0, ValueWidth - 1)
      << std::setw(ValueWidth) << "difference"
      << "\n";
  for (const CustomerReport &Customer : First.Customers_) {
    const auto Match = std::ranges::find(Second.Customers_, Customer.Name_,
                                         &CustomerReport::Name_);
    if (Match != Second.Customers_.end())
      addCustomer(Out, Customer, *Match);
  }
  addCustomer(Out, First.Total_, Second.Total_);
  for (const ServiceReport &Service : First.Services_) {
    const auto Match = std::ranges::find(Second.Services_, Service.Name_,
                                         &ServiceReport::Name_);
    if (Match != Second.Services_.end())
      addLine(Out, Service.Name_ + " headroom", Service.Headroom_,
              Match->Headroom_);
  }
  addLine(Out, "violations", static_cast<double>(First.Violations_.total()),
          static_cast<double>(Second.Violations_.total()));
  return Out.str();
}

} // namespace ebony::load
