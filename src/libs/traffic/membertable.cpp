#include "traffic/membertable.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Time for which a VM that is not heard of may still act on what all VMs share.
// Losses of datagrams are much shorter; a VM that is gone leaves its part
// unused for so long.
constexpr base::Duration SilentVmDuration = std::chrono::seconds(60);

} // namespace

bool MemberTable::recordReport(const MemberReport &Report,
                               base::TimePoint Now) {
  if (Report.Name_ == OwnName_)
    return false;
  const auto [Entry, IsNew] = Members_.try_emplace(Report.Name_);
  Member &Stored = Entry->second;
  if (!IsNew && Report.Incarnation_ < Stored.Report_.Incarnation_)
    return false;
  const bool IsChange = IsNew || !isLive(Stored, Now) ||
                        Stored.Report_.Incarnation_ != Report.Incarnation_;
  Stored.Report_ = Report;
  Stored.LastReportAt_ = Now;
  return IsChange;
}

std::vector<const MemberReport *> MemberTable::live(base::TimePoint Now) const {
  std::vector<const MemberReport *> Result;
  for (const auto &[Name, Entry] : Members_)
    if (isLive(Entry, Now))
      Result.push_back(&Entry.Report_);
  return Result;
}

std::vector<std::string> MemberTable::liveNames(base::TimePoint Now) const {
  std::vector<std::string> Result = {OwnName_};
  for (const MemberReport *Report : live(Now))
    Result.push_back(Report->Name_);
  std::sort(Result.begin(), Result.end());
  return Result;
}

void MemberTable::setListed(const std::set<std::string> &Names,
                            base::TimePoint Now) {
  std::erase_if(
      Listed_, [&](const auto &Entry) { return !Names.contains(Entry.first); });
  for (const std::string &Name : Names)
    Listed_.try_emplace(Name, Now);
  IsListKnown_ = true;
}

std::vector<std::string> MemberTable::sharingNames(base::TimePoint Now) const {
  std::vector<std::string> Result;
  for (const auto &[Name, Entry] : Members_)
    if (Now - Entry.LastReportAt_ <= SilentVmDuration)
      Result.push_back(Name);
  for (const auto &[Name, ListedAt] : Listed_)
    if (Name != OwnName_ && !Members_.contains(Name) &&
        Now - ListedAt <= SilentVmDuration)
      Result.push_back(Name);
  return Result;
}

std::size_t MemberTable::countHeardSince(base::TimePoint Since) const {
  return static_cast<std::size_t>(std::count_if(
      Members_.begin(), Members_.end(), [Since](const auto &Entry) {
        return Entry.second.LastReportAt_ >= Since;
      }));
}

std::size_t MemberTable::countSilent(base::TimePoint From,
                                     base::TimePoint To) const {
  return static_cast<std::size_t>(std::count_if(
      Members_.begin(), Members_.end(), [From, To](const auto &Entry) {
        return Entry.second.LastReportAt_ >= From &&
               Entry.second.LastReportAt_ < To &&
               !Entry.second.Report_.IsLeaving_;
      }));
}

std::optional<base::TimePoint> MemberTable::newestStoreNews() const {
  std::optional<base::TimePoint> Newest;
  for (const auto &[Name, Entry] : Members_)
    if (const auto &Age = Entry.Report_.StoreNewsAge_)
      Newest = std::max(Newest, std::optional(Entry.LastReportAt_ - *Age));
  return Newest;
}

const MemberReport *MemberTable::find(const std::string &Name) const {
  const auto Entry = Members_.find(Name);
  return Entry == Members_.end() ? nullptr : &Entry->second.Report_;
}

bool MemberTable::isLive(const std::string &Name, base::TimePoint Now) const {
  if (Name == OwnName_)
    return true;
  const auto Entry = Members_.find(Name);
  return Entry != Members_.end() && isLive(Entry->second, Now);
}

bool MemberTable::isInRegion(const std::string &Name,
                             const base::RegionName &Region) const {
  const MemberReport *Report = find(Name);
  return Report && Report->Region_ == Region;
}

std::map<NameTag, int>
MemberTable::inFlightElsewhere(base::TimePoint Now) const {
  std::map<NameTag, int> Result;
  for (const MemberReport *Report : live(Now))
    for (const auto &[Name, Count] : Report->InFlight_)
      Result[Name] += Count;
  return Result;
}

} // namespace ebony::traffic
