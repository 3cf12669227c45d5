#ifndef EBONY_VM_FOLLOWPACES_H
#define EBONY_VM_FOLLOWPACES_H

#include "vm/fleetbounds.h"

#include <algorithm>

namespace ebony::vm {

/// Intervals and limits by which a VM reads a table of the store.
struct FollowPace {
  /// Longest time for which the store holds a long poll open while nothing
  /// changes.
  base::Duration LongPollWait_{};
  /// Minimum time between two reads; bounds the call rate for a table that
  /// changes often.
  base::Duration MinInterval_{};
  /// Age of this VM's copy at which it reads the store although another VM
  /// reads for the region: table news is late or lost.
  base::Duration MaxRelayedAge_{};
  /// Time without table news after which this VM reads the store itself: the
  /// region's reader may be cut off.
  base::Duration MaxNewsGap_{};

  /// Returns the pace for a VM that hears few others: it must not wait for
  /// their news, and must soon know whether it reaches the store.
  FollowPace withoutOthers() const {
    constexpr base::Duration MaxGap = std::chrono::milliseconds(500);
    return {std::min(LongPollWait_, MaxGap), std::min(MinInterval_, MaxGap),
            MaxRelayedAge_, std::min(MaxNewsGap_, MaxGap)};
  }

  /// Returns the time until this VM has to read the store, if its copy is
  /// \p Age old and the last news arrived \p NewsGap ago.
  base::Duration timeUntilPoll(base::Duration Age,
                               base::Duration NewsGap) const {
    return std::min(MaxRelayedAge_ - Age, MaxNewsGap_ - NewsGap);
  }
};

/// A response proves the content of the store at the time of its request, so a
/// copy may become as old as two long polls. Twice the wait therefore has to
/// stay below the time for which keys are trusted without confirmation. Both
/// are fractions of the key withdrawal limit.
constexpr double LongPollFraction = 0.24;
constexpr double RelayedAgeFraction = 0.6;

/// Fractions of the time within which a configuration has to be in force. Table
/// news is sent at least this often, and a VM that receives none reads the
/// store early enough for two calls.
constexpr double NewsFraction = 0.36;
constexpr double NewsGapFraction = 0.62;

/// Returns the pace for the tables that hold configurations, keys and quotas.
inline FollowPace trustedPace(const FleetBounds &Bounds) {
  const auto Scaled = [](base::Duration Limit, double Factor) {
    return base::fromSeconds(base::toSeconds(Limit) * Factor);
  };
  return {std::min(Scaled(Bounds.KeyWithdrawal_, LongPollFraction),
                   Scaled(Bounds.Propagation_, NewsFraction)),
          std::chrono::milliseconds(100),
          Scaled(Bounds.KeyWithdrawal_, RelayedAgeFraction),
          Scaled(Bounds.Propagation_, NewsGapFraction)};
}

/// Upstreams update their entries continuously, so a long poll would return at
/// once and MinInterval_ limits the read rate.
constexpr FollowPace UpstreamPace{
    std::chrono::milliseconds(300), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2500), std::chrono::milliseconds(1800)};

/// Fraction of the key withdrawal limit for which keys are used without
/// confirmation; the rest covers clocks that run at slightly different rates.
constexpr double TrustFraction = 0.9;

/// A VM reports itself as current, so that callers are sent to it, while the
/// last confirmation of its configuration is younger than this fraction of the
/// key withdrawal limit. The time is longer than two reads of the store take.
constexpr double CurrentFraction = 0.65;

} // namespace ebony::vm

#endif
