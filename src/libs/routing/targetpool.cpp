#include "routing/targetpool.h"

#include <algorithm>
#include <set>

namespace ebony::routing {

namespace {

constexpr std::int64_t FullPermille = 1000;

} // namespace

TargetPool::TargetPool(TargetPoolSettings Settings, base::RandomEngine Random)
    : Settings_(Settings), Random_(Random) {}

void TargetPool::update(const std::vector<TargetShare> &Shares,
                        base::TimePoint Now) {
  std::set<base::UpstreamName> Listed;
  for (const TargetShare &Share : Shares) {
    Listed.insert(Share.Name_);
    const auto [Position, IsNew] = Targets_.try_emplace(Share.Name_);
    Target &Entry = Position->second;
    const bool IsReinstated =
        !IsNew && (Entry.IsDrained_ || !Entry.IsListed_) && !Share.IsDrained_;
    if (IsNew || IsReinstated)
      Entry.SlowStartedAt_ = Now;
    Entry.OwnSlots_ = Share.OwnSlots_;
    Entry.IsDrained_ = Share.IsDrained_;
    Entry.IsListed_ = true;
  }
  for (auto Position = Targets_.begin(); Position != Targets_.end();) {
    Target &Entry = Position->second;
    Entry.IsListed_ = Listed.count(Position->first) != 0;
    const bool IsRemovable = !Entry.IsListed_ && Entry.InFlight_ == 0;
    Position = IsRemovable ? Targets_.erase(Position) : std::next(Position);
  }
}

bool TargetPool::isUsable(const Target &Entry, base::TimePoint Now) const {
  return Entry.IsListed_ && !Entry.IsDrained_ && Entry.OwnSlots_ > 0 &&
         Now >= Entry.EjectedUntil_;
}

// A new or reinstated target starts with one slot and gains the others evenly
// during the slow start, because its caches fill with the requests it serves.
std::int64_t TargetPool::slotLimit(const Target &Entry,
                                   base::TimePoint Now) const {
  const base::Duration Elapsed = Now - Entry.SlowStartedAt_;
  if (Elapsed >= Settings_.SlowStart_)
    return Entry.OwnSlots_;
  const std::int64_t Gained =
      (Entry.OwnSlots_ - 1) * Elapsed.count() /
      std::max<std::int64_t>(1, Settings_.SlowStart_.count());
  return std::min(Entry.OwnSlots_, 1 + Gained);
}

bool TargetPool::isLessLoaded(const Target &Left, const Target &Right) {
  const std::int64_t LeftLoad = Left.InFlight_ * Right.OwnSlots_;
  const std::int64_t RightLoad = Right.InFlight_ * Left.OwnSlots_;
  if (LeftLoad != RightLoad)
    return LeftLoad < RightLoad;
  return Left.ReportedPermille_ < Right.ReportedPermille_;
}

std::optional<TargetChoice> TargetPool::acquire(base::TimePoint Now) {
  std::vector<std::map<base::UpstreamName, Target>::iterator> Free;
  for (auto Position = Targets_.begin(); Position != Targets_.end(); ++Position)
    if (isUsable(Position->second, Now) &&
        Position->second.InFlight_ < slotLimit(Position->second, Now))
      Free.push_back(Position);
  if (Free.empty())
    return std::nullopt;
  std::swap(Free[0], Free[Random_.below(Free.size())]);
  auto Best = Free[0];
  const auto Describe = [](const auto &Position) {
    return Position->first.text() + ":" +
           std::to_string(Position->second.InFlight_) + "/" +
           std::to_string(Position->second.OwnSlots_);
  };
  std::string Considered = Describe(Best);
  if (Free.size() > 1) {
    const auto Second = Free[1 + Random_.below(Free.size() - 1)];
    Considered += "," + Describe(Second);
    if (isLessLoaded(Second->second, Best->second))
      Best = Second;
  }
  ++Best->second.InFlight_;
  return TargetChoice{Best->first, Considered};
}

void TargetPool::release(const base::UpstreamName &Name, AttemptResult Result,
                         std::optional<std::int64_t> ReportedPermille,
                         base::TimePoint Now) {
  const auto Found = Targets_.find(Name);
  if (Found == Targets_.end())
    return;
  Target &Entry = Found->second;
  Entry.InFlight_ = std::max<std::int64_t>(0, Entry.InFlight_ - 1);
  if (ReportedPermille)
    Entry.ReportedPermille_ =
        std::clamp<std::int64_t>(*ReportedPermille, 0, FullPermille);
  if (Result == AttemptResult::Answered) {
    Entry.ConsecutiveFailures_ = 0;
    Entry.Ejection_ = base::Duration(0);
  } else if (Result != AttemptResult::Shed &&
             ++Entry.ConsecutiveFailures_ >= Settings_.EjectAfterFailures_) {
    eject(Entry, Now);
  }
  if (!Entry.IsListed_ && Entry.InFlight_ == 0)
    Targets_.erase(Found);
}

void TargetPool::eject(Target &Entry, base::TimePoint Now) const {
  Entry.Ejection_ = Entry.Ejection_ == base::Duration(0)
                        ? Settings_.InitialEjection_
                        : std::min(Settings_.MaxEjection_, Entry.Ejection_ * 2);
  Entry.EjectedUntil_ = Now + Entry.Ejection_;
  Entry.SlowStartedAt_ = Entry.EjectedUntil_;
  // A single failure after the ejection ends ejects the target again, for
  // twice as long.
  Entry.ConsecutiveFailures_ = Settings_.EjectAfterFailures_ - 1;
}

bool TargetPool::hasUsableTarget(base::TimePoint Now) const {
  return std::any_of(Targets_.begin(), Targets_.end(), [&](const auto &Entry) {
    return isUsable(Entry.second, Now);
  });
}

std::int64_t TargetPool::inFlight(const base::UpstreamName &Name) const {
  const auto Found = Targets_.find(Name);
  return Found == Targets_.end() ? 0 : Found->second.InFlight_;
}

std::int64_t TargetPool::ownSlots() const {
  std::int64_t Sum = 0;
  for (const auto &[Name, Entry] : Targets_)
    Sum += Entry.IsListed_ && !Entry.IsDrained_ ? Entry.OwnSlots_ : 0;
  return Sum;
}

std::int64_t TargetPool::slotsInUse() const {
  std::int64_t Sum = 0;
  for (const auto &[Name, Entry] : Targets_)
    Sum += Entry.InFlight_;
  return Sum;
}

} // namespace ebony::routing
