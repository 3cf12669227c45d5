#include "trust/freshnesstracker.h"

#include <limits>

namespace ebony::trust {

namespace {

constexpr base::Duration::rep NoEvidence =
    std::numeric_limits<base::Duration::rep>::min();

} // namespace

FreshnessTracker::FreshnessTracker(FreshnessSettings Settings)
    : UsableFor_(Settings.usableDuration()), AsOf_(NoEvidence) {}

void FreshnessTracker::addEvidence(const config::FreshnessEvidence &Evidence) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  if (Evidence.Revision_ <= Applied_)
    advanceAsOf(Evidence.AsOf_);
  else if (!PendingEvidence_ || PendingEvidence_->AsOf_ < Evidence.AsOf_)
    PendingEvidence_ = Evidence;
}

void FreshnessTracker::recordApplied(config::Revision Number) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  if (Number > Applied_)
    Applied_ = Number;
  if (PendingEvidence_ && PendingEvidence_->Revision_ <= Applied_) {
    advanceAsOf(PendingEvidence_->AsOf_);
    PendingEvidence_.reset();
  }
}

void FreshnessTracker::advanceAsOf(base::TimePoint AsOf) {
  const auto Micros = AsOf.time_since_epoch().count();
  if (Micros > AsOf_.load(std::memory_order_relaxed))
    AsOf_.store(Micros, std::memory_order_release);
}

bool FreshnessTracker::isFresh(base::TimePoint Now) const {
  const auto LatestAsOf = asOf();
  return LatestAsOf && Now - *LatestAsOf < UsableFor_;
}

std::optional<base::TimePoint> FreshnessTracker::asOf() const {
  const auto Micros = AsOf_.load(std::memory_order_acquire);
  if (Micros == NoEvidence)
    return std::nullopt;
  return base::TimePoint(base::Duration(Micros));
}

std::optional<config::FreshnessEvidence> FreshnessTracker::evidence() const {
  const std::lock_guard<std::mutex> Guard(Lock_);
  const auto LatestAsOf = asOf();
  if (!LatestAsOf)
    return std::nullopt;
  return config::FreshnessEvidence{Applied_, *LatestAsOf};
}

} // namespace ebony::trust
