#include "membership/digesttable.h"

#include <algorithm>
#include <utility>

namespace ebony::membership {

DigestTable::DigestTable(base::ZoneName OwnZone,
                         const MembershipSettings &Settings)
    : OwnZone_(std::move(OwnZone)), ZoneSilence_(Settings.ZoneSilence_) {}

void DigestTable::merge(const DigestEntry &Entry, const ProcessTime &AsOf) {
  const ZoneDigest &Digest = Entry.Digest_;
  if (Digest.Zone_ == OwnZone_)
    return;
  const ProcessTime Issued = AsOf.before(Entry.Age_);
  Record &One = Records_[Digest.Zone_];
  const bool IsNew = One.Version_ == 0;
  if (!IsNew && Issued.Real_ <= One.Issued_.Real_)
    return;
  if (IsNew || One.Digest_ != Digest)
    One.Version_ = ++Version_;
  One.Digest_ = Digest;
  One.Issued_ = Issued;
}

void DigestTable::refresh(const DigestAge &Known, const ProcessTime &AsOf) {
  const auto Found = Records_.find(Known.Zone_);
  if (Found == Records_.end() ||
      Found->second.Digest_.contentId() != Known.ContentId_)
    return;
  const ProcessTime Issued = AsOf.before(Known.Age_);
  if (Issued.Real_ > Found->second.Issued_.Real_)
    Found->second.Issued_ = Issued;
}

void DigestTable::vouch(const base::ZoneName &Zone, const ProcessTime &AsOf) {
  const auto Found = Records_.find(Zone);
  if (Found != Records_.end())
    Found->second.Vouched_ = AsOf;
}

void DigestTable::review(const ProcessTime &Now) {
  for (auto &[Zone, One] : Records_) {
    const bool IsReachable =
        One.Issued_.silenceAt(Now) <= ZoneSilence_ ||
        (One.Vouched_ && One.Vouched_->silenceAt(Now) <= ZoneSilence_);
    if (IsReachable != One.IsReachable_)
      One.Version_ = ++Version_;
    One.IsReachable_ = IsReachable;
  }
}

DigestEntry DigestTable::entry(const Record &One, const ProcessTime &Now) {
  return {.Digest_ = One.Digest_,
          .Age_ = One.Issued_.ageAt(Now),
          .IsReachable_ = One.IsReachable_};
}

std::vector<DigestEntry>
DigestTable::changedSince(std::int64_t Since, const ProcessTime &Now) const {
  std::vector<DigestEntry> Changed;
  for (const auto &[Zone, One] : Records_)
    if (One.Version_ > Since)
      Changed.push_back(entry(One, Now));
  return Changed;
}

std::vector<DigestEntry>
DigestTable::youngerThan(const std::vector<DigestAge> &Known,
                         base::Duration Margin, const ProcessTime &Now) const {
  std::vector<DigestEntry> Younger;
  for (const auto &[Zone, One] : Records_) {
    const auto Theirs = std::find_if(
        Known.begin(), Known.end(),
        [&Name = Zone](const DigestAge &Age) { return Age.Zone_ == Name; });
    if (Theirs == Known.end() || One.Issued_.ageAt(Now) + Margin < Theirs->Age_)
      Younger.push_back(entry(One, Now));
  }
  return Younger;
}

std::vector<DigestAge> DigestTable::ages(const ProcessTime &Now) const {
  std::vector<DigestAge> All;
  for (const auto &[Zone, One] : Records_)
    All.push_back({.Zone_ = Zone,
                   .Age_ = One.Issued_.ageAt(Now),
                   .ContentId_ = One.Digest_.contentId()});
  return All;
}

} // namespace ebony::membership
