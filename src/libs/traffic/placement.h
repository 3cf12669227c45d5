#ifndef EBONY_TRAFFIC_PLACEMENT_H
#define EBONY_TRAFFIC_PLACEMENT_H

#include "traffic/upstreamstate.h"

#include <string>

namespace ebony::traffic {

/// What is to be done with a request now.
enum class PlacementAction { Send, Wait, Refuse };

/// One decision about a request and what decided it.
struct Placement {
  PlacementAction Action_ = PlacementAction::Refuse;
  /// Where to send it; empty unless the verdict is Send.
  UpstreamPtr Upstream_;
  /// Place in the object's order; 0 is the upstream that knows it best.
  std::size_t Rank_ = 0;
  /// Foreseen time until the answer.
  base::Duration PredictedLatency_{};
  /// When a refused caller may expect room.
  base::Duration RetryAfter_{};
  std::string Reason_;

  friend bool operator==(const Placement &, const Placement &) = default;
};

} // namespace ebony::traffic

#endif
