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
    advanceTo(Evidence.AsOf_);
  else if (!Waiting_ || Waiting_->AsOf_ < Evidence.AsOf_)
    Waiting_ = Evidence;
}

void FreshnessTracker::recordApplied(config::Revision Number) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  if (Number > Applied_)
    Applied_ = Number;
  if (Waiting_ && Waiting_->Revision_ <= Applied_) {
    advanceTo(Waiting_->AsOf_);
    Waiting_.reset();
  }
}

void FreshnessTracker::advanceTo(base::TimePoint AsOf) {
  const auto Micros = AsOf.time_since_epoch().count();
  if (Micros > AsOf_.load(std::memory_order_relaxed))
    AsOf_.store(Micros, std::memory_order_release);
}

bool FreshnessTracker::isFresh(base::TimePoint Now) const {
  const auto Known = asOf();
  return Known && Now - *Known < UsableFor_;
}

std::optional<base::TimePoint> FreshnessTracker::asOf() const {
  const auto Micros = AsOf_.load(std::memory_order_acquire);
  if (Micros == NoEvidence)
    return std::nullopt;
  return base::TimePoint(base::Duration(Micros));
}

std::optional<config::FreshnessEvidence> FreshnessTracker::evidence() const {
  const std::lock_guard<std::mutex> Guard(Lock_);
  const auto Known = asOf();
  if (!Known)
    return std::nullopt;
  return config::FreshnessEvidence{Applied_, *Known};
}

} // namespace ebony::trust
