#ifndef EBONY_LOAD_WORKLOAD_H
#define EBONY_LOAD_WORKLOAD_H

#include "base/finding.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::load {

/// Class of requests that customers send.
struct RequestClass {
  std::string Name_;
  std::string Service_;
  std::string Method_;
  std::string Path_;
  std::int64_t BodyBytes_ = 0;
  base::Duration Deadline_{0}; ///< 0: no deadline is sent.
  bool HasIdempotencyKey_ = false;

  friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

/// Relative weight of one class in a customer's requests.
struct ClassWeight {
  std::size_t Class_ = 0; ///< Index in Workload::Classes_.
  double Weight_ = 0;

  friend bool operator==(const ClassWeight &, const ClassWeight &) = default;
};

/// Load offered by one customer.
struct CustomerLoad {
  std::string Customer_;
  double RequestsPerSecond_ = 0;
  std::vector<std::string> HomeZones_; ///< Zones nearest to its callers.
  std::vector<ClassWeight> Mix_;

  friend bool operator==(const CustomerLoad &, const CustomerLoad &) = default;
};

/// Open-loop load on a fleet.
struct Workload {
  std::string Name_;
  std::uint64_t Seed_ = 1;
  int Workers_ = 1;     ///< Maximum concurrent requests.
  int MaxAttempts_ = 1; ///< Attempts per request.
  std::vector<RequestClass> Classes_;
  std::vector<CustomerLoad> Customers_;

  friend bool operator==(const Workload &, const Workload &) = default;
};

/// Parses JSON text \p Text. Returns the workload, or all errors found.
base::Checked<Workload> parseWorkload(const std::string &Text,
                                      const std::string &Source);

} // namespace ebony::load

#endif
