#include "membership/digesttable.h"

#include <algorithm>
#include <utility>

namespace ebony::membership {

DigestTable::DigestTable(base::ZoneName OwnZone,
                         const MembershipSettings &Settings)
    : OwnZone_(std::move(OwnZone)), ZoneTimeout_(Settings.ZoneTimeout_) {}

void DigestTable::merge(const DigestEntry &Entry, const ProcessTime &AsOf) {
  const ZoneDigest &Digest = Entry.Digest_;
  if (Digest.Zone_ == OwnZone_)
    return;
  const ProcessTime IssuedAt = AsOf.before(Entry.Age_);
  Record &Stored = Records_[Digest.Zone_];
  const bool IsNew = Stored.Version_ == 0;
  if (!IsNew && IssuedAt.Real_ <= Stored.IssuedAt_.Real_)
    return;
  if (IsNew || Stored.Digest_ != Digest)
    Stored.Version_ = ++Version_;
  Stored.Digest_ = Digest;
  Stored.IssuedAt_ = IssuedAt;
}

void DigestTable::refresh(const DigestAge &Known, const ProcessTime &AsOf) {
  const auto Found = Records_.find(Known.Zone_);
  if (Found == Records_.end() ||
      Found->second.Digest_.contentId() != Known.ContentId_)
    return;
  const ProcessTime IssuedAt = AsOf.before(Known.Age_);
  if (IssuedAt.Real_ > Found->second.IssuedAt_.Real_)
    Found->second.IssuedAt_ = IssuedAt;
}

void DigestTable::recordReportedReachable(const base::ZoneName &Zone,
                                          const ProcessTime &AsOf) {
  const auto Found = Records_.find(Zone);
  if (Found != Records_.end())
    Found->second.ReportedReachableAt_ = AsOf;
}

void DigestTable::updateReachability(const ProcessTime &Now) {
  for (auto &[Zone, Entry] : Records_) {
    const bool IsReachable =
        Entry.IssuedAt_.runningAgeAt(Now) <= ZoneTimeout_ ||
        (Entry.ReportedReachableAt_ &&
         Entry.ReportedReachableAt_->runningAgeAt(Now) <= ZoneTimeout_);
    if (IsReachable != Entry.IsReachable_)
      Entry.Version_ = ++Version_;
    Entry.IsReachable_ = IsReachable;
  }
}

DigestEntry DigestTable::entryFor(const Record &Source,
                                  const ProcessTime &Now) {
  return {.Digest_ = Source.Digest_,
          .Age_ = Source.IssuedAt_.ageAt(Now),
          .IsReachable_ = Source.IsReachable_};
}

std::vector<DigestEntry>
DigestTable::changedSince(std::int64_t Since, const ProcessTime &Now) const {
  std::vector<DigestEntry> Changed;
  for (const auto &[Zone, Entry] : Records_)
    if (Entry.Version_ > Since)
      Changed.push_back(entryFor(Entry, Now));
  return Changed;
}

std::vector<DigestEntry>
DigestTable::youngerThan(const std::vector<DigestAge> &Known,
                         base::Duration Margin, const ProcessTime &Now) const {
  std::vector<DigestEntry> Younger;
  for (const auto &[Zone, Entry] : Records_) {
    const auto KnownAge = std::find_if(
        Known.begin(), Known.end(),
        [&Name = Zone](const DigestAge &Age) { return Age.Zone_ == Name; });
    if (KnownAge == Known.end() ||
        Entry.IssuedAt_.ageAt(Now) + Margin < KnownAge->Age_)
      Younger.push_back(entryFor(Entry, Now));
  }
  return Younger;
}

std::vector<DigestAge> DigestTable::ages(const ProcessTime &Now) const {
  std::vector<DigestAge> Ages;
  for (const auto &[Zone, Entry] : Records_)
    Ages.push_back({.Zone_ = Zone,
                    .Age_ = Entry.IssuedAt_.ageAt(Now),
                    .ContentId_ = Entry.Digest_.contentId()});
  return Ages;
}

} // namespace ebony::membership
