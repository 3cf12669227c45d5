#ifndef EBONY_LOAD_REPORT_H
#define EBONY_LOAD_REPORT_H

#include "load/percentiles.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::load {

/// Request counts and latencies of one customer, or of all customers.
struct CustomerReport {
  std::string Name_;
  std::int64_t Offered_ = 0;
  std::int64_t Served_ = 0;
  std::int64_t RefusedWithinRate_ = 0;
  std::int64_t RefusedOverRate_ = 0;
  std::int64_t Unknown_ = 0;
  std::int64_t Errors_ = 0; ///< Complete answers other than 2xx.
  LatencySummary Latency_;
  double ServedShare_ = 0; ///< Of the requests within its rate and burst.

  friend bool operator==(const CustomerReport &,
                         const CustomerReport &) = default;
};

/// Unused slot time of one service.
struct ServiceReport {
  std::string Name_;
  double Headroom_ = 0;      ///< Share of its total slot time.
  double LeastHeadroom_ = 0; ///< Headroom of its busiest target.

  friend bool operator==(const ServiceReport &,
                         const ServiceReport &) = default;
};

/// Number of violations of each guarantee.
struct Violations {
  std::int64_t OverRate_ = 0;
  std::int64_t RanTwice_ = 0;
  std::int64_t FalseNotRun_ = 0;
  std::int64_t SlotOverruns_ = 0;
  std::int64_t KeyLeaks_ = 0;
  std::int64_t MismatchedAnswers_ = 0;
  std::int64_t TruncatedAnswers_ = 0;

  std::int64_t total() const {
    return OverRate_ + RanTwice_ + FalseNotRun_ + SlotOverruns_ + KeyLeaks_ +
           MismatchedAnswers_ + TruncatedAnswers_;
  }

  friend bool operator==(const Violations &, const Violations &) = default;
};

/// Result of one run.
struct Report {
  std::string Workload_;
  double Seconds_ = 0;
  std::vector<CustomerReport> Customers_;
  CustomerReport Total_;
  std::vector<ServiceReport> Services_;
  std::string WorstServed_; ///< Customer with the lowest served share.
  double LatenessMs_ = 0;   ///< p99 of the load tool's start delay.
  Violations Violations_;

  friend bool operator==(const Report &, const Report &) = default;
};

/// Returns a human-readable table that ends with "violations: N".
std::string toText(const Report &Result);

} // namespace ebony::load

#endif
