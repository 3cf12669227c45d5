#ifndef EBONY_BENCHQUOTA_SCHEME_H
#define EBONY_BENCHQUOTA_SCHEME_H

#include "base/time.h"
#include "quota/quotalimits.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace ebony::benchquota {

/// Simulated network that delivers a scheme's messages with a latency.
class Network {
public:
  virtual ~Network() = default;

  /// Calls \p Deliver at the receiver after the latency, unless exactly one of
  /// the two VMs is in the zone that is cut off. Counts one message of \p
  /// Bytes.
  virtual void send(std::size_t From, std::size_t To, std::size_t Bytes,
                    std::function<void(base::TimePoint)> Deliver) = 0;
};

/// A scheme to enforce one customer's rate and burst across the fleet.
class Scheme {
public:
  using DecisionHandler = std::function<void(bool, base::TimePoint)>;

  virtual ~Scheme() = default;

  /// Decides on a request at the VM \p VmIndex and calls \p OnDecision, either
  /// before returning or later.
  virtual void submit(std::size_t VmIndex, base::TimePoint Now,
                      DecisionHandler OnDecision) = 0;

  /// Performs periodic work; called at every tick.
  virtual void tick(base::TimePoint Now) = 0;
};

} // namespace ebony::benchquota

#endif
