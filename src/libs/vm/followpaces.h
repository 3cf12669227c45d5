#ifndef EBONY_VM_FOLLOWPACES_H
#define EBONY_VM_FOLLOWPACES_H

#include "vm/fleetbounds.h"

#include <algorithm>

namespace ebony::vm {

/// Pace at which a table is read.
struct FollowPace {
  /// How long the store holds a question open when nothing has changed.
  base::Duration Wait_{};
  /// Least time between two questions; bounds the calls for a busy table.
  base::Duration Gap_{};
  /// Age of what is known at which a VM asks the store although another VM
  /// reads it for the region: news is late or lost.
  base::Duration RestAge_{};
  /// Time without news after which it does so too: its reader may be cut off.
  base::Duration Silence_{};

  /// Time for which a VM may go on without asking, when what it knows is
  /// \p Age old and the last news came \p Silent ago.
  base::Duration rest(base::Duration Age, base::Duration Silent) const {
    return std::min(RestAge_ - Age, Silence_ - Silent);
  }
};

/// A proof that nothing has changed is as old as its question, so knowledge
/// grows as old as two questions take: twice the wait has to stay below the
/// time for which keys are trusted without news. Parts of the withdrawal limit.
constexpr double WaitPart = 0.24;
constexpr double RestPart = 0.6;

/// Parts of the time until a configuration has to be in force: news comes at
/// least this often, and a VM that hears none asks with time for two calls.
constexpr double NewsPart = 0.36;
constexpr double SilencePart = 0.62;

/// Pace for the tables on which configurations, keys and quotas rest.
inline FollowPace trustedPace(const FleetBounds &Bounds) {
  const auto Part = [](base::Duration Whole, double Factor) {
    return base::fromSeconds(base::toSeconds(Whole) * Factor);
  };
  return {std::min(Part(Bounds.KeyWithdrawal_, WaitPart),
                   Part(Bounds.Propagation_, NewsPart)),
          std::chrono::milliseconds(100), Part(Bounds.KeyWithdrawal_, RestPart),
          Part(Bounds.Propagation_, SilencePart)};
}

/// Upstreams write their entries all the time; a question held open would be
/// answered at once, so the gap sets the pace.
constexpr FollowPace UpstreamPace{
    std::chrono::milliseconds(300), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2500), std::chrono::milliseconds(1800)};

/// Part of the withdrawal limit for which keys are used without news; the rest
/// covers clocks that run at slightly different rates.
constexpr double TrustPart = 0.9;

/// Part of the withdrawal limit up to which the proof that the configuration is
/// the newest counts as fresh, so that callers are sent to a VM: over the time
/// that two questions to the store take.
constexpr double CurrentPart = 0.65;

} // namespace ebony::vm

#endif
