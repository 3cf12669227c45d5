#ifndef EBONY_PLATFORMSTANDIN_PLATFORMORDERS_H
#define EBONY_PLATFORMSTANDIN_PLATFORMORDERS_H

#include "base/finding.h"
#include "base/time.h"
#include "platformstandin/listedvm.h"

#include <string>
#include <vector>

namespace ebony::platformstandin {

/// Faults and delays that the platform stand-in currently injects, as set
/// through /standin/orders.
struct PlatformOrders {
  base::Duration Latency_{0}; ///< Added to every answer.
  bool Down_ = false;
  double LoseAnswerProbability_ = 0;
  base::Duration VmListLag_{0};
  std::vector<int> CutOffZones_; ///< Numbers of zones without a connection.
  std::vector<ListedVm> VmChanges_;

  friend bool operator==(const PlatformOrders &,
                         const PlatformOrders &) = default;
};

/// Returns \p Current updated by the members of the JSON text \p Text.
base::Checked<PlatformOrders> updatedOrders(const PlatformOrders &Current,
                                            const std::string &Text);

} // namespace ebony::platformstandin

#endif
