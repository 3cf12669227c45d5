#ifndef EBONY_ROUTING_TARGETPOOL_H
#define EBONY_ROUTING_TARGETPOOL_H

#include "base/name.h"
#include "base/randomengine.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebony::routing {

/// Target and the share of its slots that this VM may use.
struct TargetShare {
  base::UpstreamName Name_;
  std::int64_t OwnSlots_ = 0;
  bool IsDrained_ = false;

  friend bool operator==(const TargetShare &, const TargetShare &) = default;
};

/// Outcome of an attempt to send a request to a target.
enum class AttemptResult {
  Answered,
  /// The target reported that it did not run the request.
  Shed,
  /// The connection could not be opened.
  Unreachable,
  /// The request was sent, but no complete response to it arrived.
  Failed,
};

/// Ejection and slow-start settings of a TargetPool.
struct TargetPoolSettings {
  /// Consecutive failures after which a target is ejected.
  int EjectAfterFailures_ = 3;
  base::Duration InitialEjection_ = std::chrono::seconds(1);
  base::Duration MaxEjection_ = std::chrono::seconds(30);
  /// Time over which a new or reinstated target ramps up to all of its slots.
  base::Duration SlowStart_ = std::chrono::seconds(2);

  friend bool operator==(const TargetPoolSettings &,
                         const TargetPoolSettings &) = default;
};

/// Chosen target and the targets it was compared with.
struct TargetChoice {
  base::UpstreamName Name_;
  /// "<name>:<in flight>/<own slots>" of each compared target, separated by
  /// commas.
  std::string Considered_;

  friend bool operator==(const TargetChoice &, const TargetChoice &) = default;
};

/// Targets of one service in this VM's zone. Chooses the less loaded of two
/// random targets with a free slot and never uses more than the VM's own slots.
/// Not thread-safe.
class TargetPool {
public:
  TargetPool(TargetPoolSettings Settings, base::RandomEngine Random);

  /// Applies the current shares. Requests in flight at removed targets are
  /// counted until they end.
  void update(const std::vector<TargetShare> &Shares, base::TimePoint Now);

  /// Acquires a slot; returns std::nullopt when no usable target has a free
  /// one.
  std::optional<TargetChoice> acquire(base::TimePoint Now);

  /// Releases a slot and updates the health of the target by \p Result.
  /// \p ReportedPermille is the load that the target reported, in thousandths
  /// of its slots.
  void release(const base::UpstreamName &Name, AttemptResult Result,
               std::optional<std::int64_t> ReportedPermille,
               base::TimePoint Now);

  /// Returns whether any target may get requests, now or once a slot is free.
  bool hasUsableTarget(base::TimePoint Now) const;

  std::int64_t inFlight(const base::UpstreamName &Name) const;

  /// Returns the slots that this VM may use at all listed targets that are not
  /// drained.
  std::int64_t ownSlots() const;

  /// Returns the requests in flight at all targets, including drained and
  /// removed ones.
  std::int64_t slotsInUse() const;

private:
  struct Target {
    std::int64_t OwnSlots_ = 0;
    bool IsDrained_ = false;
    bool IsListed_ = true;
    std::int64_t InFlight_ = 0;
    std::int64_t ReportedPermille_ = 0;
    int ConsecutiveFailures_ = 0;
    base::Duration Ejection_{0};
    base::TimePoint EjectedUntil_;
    base::TimePoint SlowStartedAt_;
  };

  bool isUsable(const Target &Entry, base::TimePoint Now) const;
  std::int64_t slotLimit(const Target &Entry, base::TimePoint Now) const;
  void eject(Target &Entry, base::TimePoint Now) const;
  static bool isLessLoaded(const Target &Left, const Target &Right);

  TargetPoolSettings Settings_;
  base::RandomEngine Random_;
  std::map<base::UpstreamName, Target> Targets_;
};

} // namespace ebony::routing

#endif
