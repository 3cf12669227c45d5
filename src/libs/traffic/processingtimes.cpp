#include "traffic/processingtimes.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// First guesses as shares of the objective: operators set objectives that an
// upstream which knows the object keeps with room, and one which does not
// misses.
constexpr double WarmGuess = 0.5;
constexpr double FreshGuess = 1.2;

// Weight of one answer; some 20 answers replace the guess.
constexpr double Weight = 0.05;

} // namespace

ProcessingTimes::ProcessingTimes(base::Duration Objective)
    : Warm_(base::fromSeconds(base::toSeconds(Objective) * WarmGuess)),
      Fresh_(base::fromSeconds(base::toSeconds(Objective) * FreshGuess)) {}

void ProcessingTimes::learn(bool KnowsObject, base::Duration Taken,
                            double Slowness) {
  base::Duration &Known = KnowsObject ? Warm_ : Fresh_;
  const double Plain = base::toSeconds(Taken) / std::max(Slowness, 0.1);
  Known =
      base::fromSeconds(base::toSeconds(Known) * (1 - Weight) + Plain * Weight);
}

} // namespace ebony::traffic
