#ifndef EBONY_STEERING_CUSTOMERRING_H
#define EBONY_STEERING_CUSTOMERRING_H

#include "steering/customerload.h"
#include "steering/ringmember.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ebony::steering {

/// Consistent hashing of customers to the entry VMs of a zone with bounded
/// load: no VM is the first choice for more than its share of all rates and a
/// quarter on top; a customer above that gets several VMs. VMs with the same
/// view and configuration choose alike without a message. Immutable.
class CustomerRing {
public:
  CustomerRing(const std::vector<RingMember> &Members,
               const std::vector<CustomerLoad> &Loads);

  /// Up to \p Count VMs in order of preference. \p Spread tells apart the
  /// callers of a customer that has several first choices.
  std::vector<base::VmAddress> preferredVms(const base::CustomerName &Customer,
                                            std::uint64_t Spread,
                                            std::size_t Count) const;

  /// First choices of \p Customer; one for most.
  std::size_t firstChoices(const base::CustomerName &Customer) const;

private:
  struct Point {
    std::uint64_t Hash_;
    std::uint32_t Member_;
  };

  std::size_t pointFrom(const base::CustomerName &Customer) const;
  void place(const CustomerLoad &Load, const std::vector<double> &Limits,
             std::vector<double> &Placed);

  std::vector<base::VmAddress> Vms_;
  std::vector<Point> Points_;
  std::unordered_map<base::CustomerName, std::vector<std::uint32_t>> First_;
};

} // namespace ebony::steering

#endif
