#ifndef EBONY_VM_FOLLOWPACES_H
#define EBONY_VM_FOLLOWPACES_H

#include "base/time.h"

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
};

/// A proof that nothing has changed is as old as its question, so knowledge
/// grows as old as two questions take: twice the wait has to stay below the
/// time for which keys are trusted without news. Parts of the withdrawal limit.
constexpr double WaitPart = 0.24;
constexpr double RestPart = 0.6;

/// Pace for the tables on which the trust in keys and quotas rests.
inline FollowPace trustedPace(base::Duration KeyWithdrawal) {
  return {base::fromSeconds(base::toSeconds(KeyWithdrawal) * WaitPart),
          std::chrono::milliseconds(100),
          base::fromSeconds(base::toSeconds(KeyWithdrawal) * RestPart)};
}

/// Upstreams write their entries all the time; a question held open would be
/// answered at once, so the gap sets the pace.
constexpr FollowPace UpstreamPace{std::chrono::milliseconds(300),
                                  std::chrono::milliseconds(1000),
                                  std::chrono::milliseconds(2500)};

/// Part of the withdrawal limit for which keys are used without news; the rest
/// covers clocks that run at slightly different rates.
constexpr double TrustPart = 0.9;

/// Part of the withdrawal limit up to which the proof that the configuration is
/// the newest counts as fresh, so that callers are sent to a VM: over the time
/// that two questions to the store take.
constexpr double CurrentPart = 0.65;

} // namespace ebony::vm

#endif
