#ifndef EBONY_TRAFFIC_PROCESSINGTIMES_H
#define EBONY_TRAFFIC_PROCESSINGTIMES_H

#include "base/time.h"

namespace ebony::traffic {

/// Learned times that a route's requests take at an upstream which knows the
/// object and at one which does not.
class ProcessingTimes {
public:
  /// \p Objective is the route's, from which the first guess comes.
  explicit ProcessingTimes(base::Duration Objective);

  base::Duration expected(bool KnowsObject) const {
    return KnowsObject ? Warm_ : Fresh_;
  }

  /// Learns from an answer; \p Slowness is the upstream's known factor.
  void learn(bool KnowsObject, base::Duration Taken, double Slowness);

private:
  base::Duration Warm_;
  base::Duration Fresh_;
};

} // namespace ebony::traffic

#endif
