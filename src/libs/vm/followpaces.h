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
};

/// A proof that nothing has changed is as old as its question, so knowledge
/// grows as old as two questions take: twice the wait has to stay below the
/// time for which keys are trusted without news.
constexpr FollowPace OperatorPace{std::chrono::milliseconds(1200),
                                  std::chrono::milliseconds(100)};

/// The VMs' table, with the quota plan; bound in the same way.
constexpr FollowPace VmTablePace{std::chrono::milliseconds(1900),
                                 std::chrono::milliseconds(100)};

/// Upstreams write their entries all the time; a question held open would be
/// answered at once, so the gap sets the pace.
constexpr FollowPace UpstreamPace{std::chrono::milliseconds(500),
                                  std::chrono::milliseconds(1000)};

/// Part of the withdrawal limit for which keys are used without news; the rest
/// covers clocks that run at slightly different rates.
constexpr double TrustPart = 0.9;

/// Age of the proof that the configuration is the newest up to which callers
/// are sent to a VM: over the time that two questions to the store take.
constexpr base::Duration CurrentAge = std::chrono::milliseconds(3000);

} // namespace ebony::vm

#endif
