#include "traffic/membertable.h"

#include <algorithm>

namespace ebony::traffic {

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
