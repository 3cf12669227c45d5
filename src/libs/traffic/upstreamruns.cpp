#include "traffic/upstreamruns.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Time after which the store no longer performs a write that it has not
// answered.
constexpr base::Duration LateWriteSpan = std::chrono::seconds(10);

// Time for which a run is remembered once it is not listed; longer than an
// upstream serves after it has announced that it leaves.
constexpr base::Duration RunMemory = std::chrono::minutes(10);

} // namespace

EntryOrder UpstreamRuns::orderOf(const UpstreamEntry &Entry,
                                 base::TimePoint Now) const {
  const auto Known = Newest_.find(Entry.Name_);
  if (Known == Newest_.end())
    return EntryOrder::NewRun;
  const UpstreamRun &Run = *Known->second;
  const bool AreStartsKnown =
      Run.StartedUnixMs_ != 0 && Entry.StartedUnixMs_ != 0;
  const bool HasLowerSequence =
      Entry.Sequence_ && Run.Sequence_ && *Entry.Sequence_ < *Run.Sequence_;
  if (AreStartsKnown && Entry.StartedUnixMs_ > Run.StartedUnixMs_)
    return EntryOrder::NewRun;
  if (AreStartsKnown && Entry.StartedUnixMs_ == Run.StartedUnixMs_)
    return HasLowerSequence ? EntryOrder::Outdated
                            : orderInRun(Run, Entry, Now);
  // Without starts, a run that counts anew or no longer leaves is another one.
  // The clock may also have been set back between two starts. An older report
  // looks the same, but comes within the span after a newer one.
  const bool IsOtherRun = AreStartsKnown || HasLowerSequence ||
                          (Run.HasReportedDraining_ && !Entry.IsDraining_);
  if (!IsOtherRun)
    return orderInRun(Run, Entry, Now);
  return Now - Run.LastEntryAt_ > LateWriteSpan ? EntryOrder::NewRun
                                                : EntryOrder::Outdated;
}

// An upstream that registers again reports in each interval. The last report of
// one that has left may be performed after its entry was removed, and no other
// follows.
EntryOrder UpstreamRuns::orderInRun(const UpstreamRun &Run,
                                    const UpstreamEntry &Entry,
                                    base::TimePoint Now) {
  const bool MayBeLate = Run.RemovedAt_ && Entry.Sequence_ &&
                         Now - *Run.RemovedAt_ <= LateWriteSpan;
  const bool IsFollowUp =
      Run.SequenceSinceRemoval_ && Entry.Sequence_ > Run.SequenceSinceRemoval_;
  return MayBeLate && !IsFollowUp ? EntryOrder::Unconfirmed
                                  : EntryOrder::SameRun;
}

UpstreamRunPtr UpstreamRuns::record(const UpstreamEntry &Entry,
                                    base::TimePoint Now) {
  const EntryOrder Order = orderOf(Entry, Now);
  UpstreamRunPtr &Run = Newest_[Entry.Name_];
  if (Order == EntryOrder::Unconfirmed) {
    Run->Sequence_ = Run->SequenceSinceRemoval_ = Entry.Sequence_;
    return nullptr;
  }
  if (Order == EntryOrder::NewRun)
    Run = UpstreamRunPtr(new UpstreamRun);
  Run->RemovedAt_.reset();
  Run->SequenceSinceRemoval_.reset();
  Run->StartedUnixMs_ = std::max(Run->StartedUnixMs_, Entry.StartedUnixMs_);
  if (Entry.Sequence_)
    Run->Sequence_ = Entry.Sequence_;
  Run->LastEntryAt_ = Run->LastListedAt_ = Now;
  Run->HasReportedDraining_ = Run->HasReportedDraining_ || Entry.IsDraining_;
  Run->IsLeaving_ = Run->IsLeaving_ || Entry.IsDraining_;
  return Run;
}

void UpstreamRuns::recordRemoval(const base::UpstreamName &Name,
                                 base::TimePoint Now) {
  const auto Run = Newest_.find(Name);
  if (Run == Newest_.end())
    return;
  Run->second->RemovedAt_ = Now;
  Run->second->SequenceSinceRemoval_.reset();
}

void UpstreamRuns::expire(
    const std::function<bool(const base::UpstreamName &)> &IsListed,
    base::TimePoint Now) {
  std::erase_if(Newest_, [&](const auto &Named) {
    UpstreamRun &Run = *Named.second;
    if (IsListed(Named.first))
      Run.LastListedAt_ = Now;
    return Now - Run.LastListedAt_ > RunMemory;
  });
}

} // namespace ebony::traffic
