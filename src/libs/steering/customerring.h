#ifndef EBONY_STEERING_CUSTOMERRING_H
#define EBONY_STEERING_CUSTOMERRING_H

#include "steering/customerload.h"
#include "steering/ringmember.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ebony::steering {

/// Consistent hashing with bounded loads, of customers to the entry VMs of a
/// zone. No VM is the first choice for more than 1.25 times its share of the
/// total rate; a customer with a higher rate gets several VMs. VMs with the
/// same view and configuration choose alike without exchanging messages.
/// Immutable.
class CustomerRing {
public:
  CustomerRing(const std::vector<RingMember> &Members,
               const std::vector<CustomerLoad> &Loads);

  /// Returns up to \p Count VMs in order of preference. \p CallerKey spreads
  /// the callers of a customer that has several first choices.
  std::vector<base::VmAddress> preferredVms(const base::CustomerName &Customer,
                                            std::uint64_t CallerKey,
                                            std::size_t Count) const;

  /// Returns the number of first choices of \p Customer; 1 for most customers.
  std::size_t firstChoiceCount(const base::CustomerName &Customer) const;

private:
  struct Point {
    std::uint64_t Hash_;
    std::uint32_t Member_;
  };

  std::size_t firstPointFor(const base::CustomerName &Customer) const;
  void assignRate(const CustomerLoad &Load, const std::vector<double> &Limits,
                  std::vector<double> &AssignedRates);

  std::vector<base::VmAddress> Vms_;
  std::vector<Point> Points_;
  std::unordered_map<base::CustomerName, std::vector<std::uint32_t>>
      FirstChoices_;
};

} // namespace ebony::steering

#endif
