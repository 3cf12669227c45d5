#ifndef EBONY_TRAFFIC_CACHEESTIMATOR_H
#define EBONY_TRAFFIC_CACHEESTIMATOR_H

#include "base/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace ebony::traffic {

/// Estimates how likely an upstream of one service has an object cached.
///
/// Load pattern: upstreams keep a limited number of objects. While few objects
/// share an upstream, each stays cached there, also at an upstream that is not
/// the object's first one. While many share it, an object is soon displaced,
/// also at its first upstream.
///
/// Remembers when this VM last had an object served by an upstream, in a table
/// of fixed size, and learns from the response times for which share of the
/// requests that follow after such a time the object was still cached.
class CacheEstimator {
public:
  CacheEstimator();

  /// Returns the probability that the object is cached. \p Key identifies the
  /// object and the upstream. \p IsFirst is whether the upstream is the first
  /// in the object's order, where other VMs send their requests for it too.
  double probability(std::uint64_t Key, bool IsFirst,
                     base::TimePoint Now) const;

  /// Records a response and whether its time shows that the object was cached.
  void record(std::uint64_t Key, bool IsFirst, bool WasCached,
              base::TimePoint Now);

private:
  static constexpr std::size_t AgeClasses = 8;

  struct LastUse {
    std::uint64_t Key_ = 0;
    base::TimePoint At_{};
  };

  std::size_t ageClass(std::uint64_t Key, base::TimePoint Now) const;

  std::vector<LastUse> LastUses_;
  /// Smoothed share of cached responses by IsFirst and age class.
  std::array<std::array<double, AgeClasses>, 2> Shares_{};
};

} // namespace ebony::traffic

#endif
