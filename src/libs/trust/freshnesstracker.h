#ifndef EBONY_TRUST_FRESHNESSTRACKER_H
#define EBONY_TRUST_FRESHNESSTRACKER_H

#include "config/freshnessevidence.h"

#include <atomic>
#include <mutex>
#include <optional>

namespace ebony::trust {

/// Limits of a FreshnessTracker.
struct FreshnessSettings {
  /// Time for which keys may be used after the last evidence of freshness.
  base::Duration StalenessLimit_ = std::chrono::seconds(5);
  /// Largest drift of one VM's clock against another's, in parts per million;
  /// it shortens the staleness limit.
  std::int64_t DriftPartsPerMillion_ = 1000;

  /// Returns the staleness limit less the drift that can accumulate within it.
  base::Duration usableDuration() const {
    return StalenessLimit_ - StalenessLimit_ * DriftPartsPerMillion_ / 1000000;
  }

  friend bool operator==(const FreshnessSettings &,
                         const FreshnessSettings &) = default;
};

/// Tracks the latest time at which the applied configuration is known to have
/// been the newest one. Thread-safe.
class FreshnessTracker {
public:
  explicit FreshnessTracker(FreshnessSettings Settings);

  /// Records evidence from the table service, from a peer or from promises.
  /// Evidence for a revision that is not applied yet is kept pending until it
  /// is.
  void addEvidence(const config::FreshnessEvidence &Evidence);

  /// Records that revision \p Number is applied, so that the tables that
  /// requests read contain it.
  void recordApplied(config::Revision Number);

  /// Returns true if keys may be used at \p Now.
  bool isFresh(base::TimePoint Now) const;

  /// Returns the latest time at which the applied configuration is known to
  /// have been the newest, or std::nullopt before the first evidence.
  std::optional<base::TimePoint> asOf() const;

  /// Returns the evidence to send to peers, or std::nullopt before the first
  /// evidence.
  std::optional<config::FreshnessEvidence> evidence() const;

private:
  void advanceAsOf(base::TimePoint AsOf);

  const base::Duration UsableFor_;
  mutable std::mutex Lock_;
  config::Revision Applied_ = 0;
  std::optional<config::FreshnessEvidence> PendingEvidence_;
  // Microseconds since the epoch; the smallest value means no evidence.
  std::atomic<base::Duration::rep> AsOf_;
};

} // namespace ebony::trust

#endif
