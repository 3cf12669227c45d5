#ifndef EBONY_TRAFFIC_PLACEMENT_H
#define EBONY_TRAFFIC_PLACEMENT_H

#include "traffic/upstreamstate.h"

#include <string>

namespace ebony::traffic {

/// Action to take for a request.
enum class PlacementAction { Send, Wait, Refuse };

/// Decision about a request with its reason.
struct Placement {
  PlacementAction Action_ = PlacementAction::Refuse;
  /// Target upstream; null unless the action is Send.
  UpstreamPtr Upstream_;
  /// Position in the object's order; 0 is the upstream most likely to have the
  /// object cached.
  std::size_t Rank_ = 0;
  /// Predicted time until the response.
  base::Duration PredictedLatency_{};
  /// Time after which a refused caller may retry.
  base::Duration RetryAfter_{};
  std::string Reason_;

  friend bool operator==(const Placement &, const Placement &) = default;
};

} // namespace ebony::traffic

#endif
