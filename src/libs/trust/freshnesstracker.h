#ifndef EBONY_TRUST_FRESHNESSTRACKER_H
#define EBONY_TRUST_FRESHNESSTRACKER_H

#include "config/freshnessevidence.h"

#include <atomic>
#include <mutex>
#include <optional>

namespace ebony::trust {

/// Limits of a FreshnessTracker.
struct FreshnessSettings {
  /// Keys may be used for this long after the last proof of freshness.
  base::Duration StalenessLimit_ = std::chrono::seconds(5);
  /// Largest drift of one VM's clock against another's, in parts per million;
  /// it shortens the limit.
  std::int64_t DriftPartsPerMillion_ = 1000;

  /// Staleness limit less the drift that can add up within it.
  base::Duration usableDuration() const {
    return StalenessLimit_ - StalenessLimit_ * DriftPartsPerMillion_ / 1000000;
  }

  friend bool operator==(const FreshnessSettings &,
                         const FreshnessSettings &) = default;
};

/// Knows up to which time the applied configuration was the newest one. Safe
/// to use from several threads.
class FreshnessTracker {
public:
  explicit FreshnessTracker(FreshnessSettings Settings);

  /// Takes evidence from the table service, from a peer or from promises.
  /// Evidence for a revision that isn't applied yet waits until it is.
  void addEvidence(const config::FreshnessEvidence &Evidence);

  /// Says that \p Number is applied: tables that requests read hold it.
  void recordApplied(config::Revision Number);

  /// True when keys may be used at \p Now.
  bool isFresh(base::TimePoint Now) const;

  /// Time up to which the applied configuration was the newest; empty before
  /// the first evidence.
  std::optional<base::TimePoint> asOf() const;

  /// Evidence to pass on to peers; empty before the first.
  std::optional<config::FreshnessEvidence> evidence() const;

private:
  void advanceTo(base::TimePoint AsOf);

  const base::Duration UsableFor_;
  mutable std::mutex Lock_;
  config::Revision Applied_ = 0;
  std::optional<config::FreshnessEvidence> Waiting_;
  // Microseconds; the smallest value stands for no evidence.
  std::atomic<base::Duration::rep> AsOf_;
};

} // namespace ebony::trust

#endif
