#ifndef EBONY_UPSTREAMSTANDIN_TARGETORDERS_H
#define EBONY_UPSTREAMSTANDIN_TARGETORDERS_H

#include "base/time.h"
#include "standin/jsonfields.h"

#include <optional>

namespace ebony::upstreamstandin {

/// Service time and injected faults of a target, as set through
/// /standin/orders.
struct TargetOrders {
  base::Duration ServiceTime_{0};
  base::Duration ColdExtra_{0};
  bool Drain_ = false;
  bool Down_ = false;
  bool LieHealth_ = false; ///< Reports healthy while down or draining.
  double ShedProbability_ = 0;
  double LoseAnswerProbability_ = 0;
  double CutAnswerProbability_ = 0;
  bool CrossAnswers_ = false; ///< Sends the answer of the previous run.
  base::Duration DelayAnswer_{0};
  std::optional<int> LieLoad_; ///< False in-flight count to report.
  base::Duration LagLoad_{0};  ///< Age of the reported in-flight count.

  friend bool operator==(const TargetOrders &, const TargetOrders &) = default;
};

/// Updates \p Orders with the members that \p Fields contains.
void updateOrders(TargetOrders &Orders, standin::JsonFields &Fields);

} // namespace ebony::upstreamstandin

#endif
