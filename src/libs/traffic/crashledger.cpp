#include "traffic/crashledger.h"

#include <algorithm>
#include <set>

namespace ebony::traffic {

namespace {

// Successive ends of upstreams for which a request is blamed.
constexpr std::size_t MinSuccessiveEnds = 3;

// Ends after which a request is no longer retried by the VM itself.
constexpr std::size_t MaxEndsBeforeRetry = 1;

// Time for which a blamed request is refused after the last end it caused.
constexpr base::Duration RefusalDuration = std::chrono::minutes(5);

// Time for which ends and answers are reported; longer than the reports of a
// VM take to reach all others, some being lost.
constexpr base::Duration ReportDuration = std::chrono::seconds(10);

// Age at which another VM's blame is adopted. A younger one may be from
// incomplete reports; VMs that know the crashes assign the blame themselves.
constexpr base::Duration MinAdoptedAge = std::chrono::seconds(2);

constexpr std::size_t MaxCrashes = 128;
constexpr std::size_t MaxSuspectsPerCrash = 24;
constexpr std::size_t MaxKnownRequests = 256;

template <typename Map, typename Age> void dropOldest(Map &Entries, Age AgeOf) {
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(),
      [AgeOf](const auto &A, const auto &B) { return AgeOf(A) < AgeOf(B); }));
}

void addBounded(std::map<RequestFingerprint, base::TimePoint> &Times,
                RequestFingerprint Request, base::TimePoint At) {
  base::TimePoint &Time = Times[Request];
  Time = std::max(Time, At);
  if (Times.size() > MaxKnownRequests)
    dropOldest(Times, [](const auto &Entry) { return Entry.second; });
}

} // namespace

bool CrashLedger::Evidence::isStrongerThan(const Evidence &Other) const {
  if (SuccessiveEnds_ != Other.SuccessiveEnds_)
    return SuccessiveEnds_ > Other.SuccessiveEnds_;
  if (Ends_ != Other.Ends_)
    return Ends_ > Other.Ends_;
  // The request that ended the upstream had hardly begun; others were under way
  // for longer.
  return MeanRun_ < Other.MeanRun_;
}

void CrashLedger::recordCrash(NameTag Run, RequestFingerprint Request,
                              base::Duration RanFor, base::TimePoint Now) {
  if (addSuspect(Run, Request, {RanFor, true}, Now))
    assignBlame();
}

void CrashLedger::recordAnswer(RequestFingerprint Request,
                               base::TimePoint Now) {
  if (clear(Request, Now))
    assignBlame();
}

void CrashLedger::applyReport(const CrashReport &Report, base::TimePoint Now) {
  bool HasChanged = false;
  for (const ReportedCrash &One : Report.Crashes_)
    HasChanged |= addSuspect(One.Run_, One.Request_, {One.RanFor_, false},
                             Now - One.Age_);
  for (const ReportedRequest &One : Report.Cleared_)
    HasChanged |= clear(One.Request_, Now - One.Age_);
  for (const ReportedRequest &One : Report.Blamed_) {
    const auto Entry = Cleared_.find(One.Request_);
    const bool IsCleared =
        Entry != Cleared_.end() && Entry->second >= Now - One.Age_;
    if (One.Age_ >= MinAdoptedAge && One.Age_ < RefusalDuration && !IsCleared)
      addBounded(Adopted_, One.Request_, Now - One.Age_);
  }
  if (HasChanged)
    assignBlame();
}

CrashReport CrashLedger::report(base::TimePoint Now) const {
  CrashReport Result;
  for (const auto &[Run, Ended] : Crashes_) {
    if (Now - Ended.At_ > ReportDuration)
      continue;
    for (const auto &[Request, Found] : Ended.Suspects_)
      if (Found.IsOwn_)
        Result.Crashes_.push_back(
            {Run, Request, Now - Ended.At_, Found.RanFor_});
  }
  for (const auto &[Request, At] : blamed(Now))
    Result.Blamed_.push_back({Request, Now - At});
  for (const auto &[Request, At] : Cleared_)
    if (Now - At <= ReportDuration)
      Result.Cleared_.push_back({Request, Now - At});
  return Result;
}

std::optional<base::Duration>
CrashLedger::refusedFor(RequestFingerprint Request, base::TimePoint Now) const {
  base::TimePoint LastEnd{};
  for (const auto *Times : {&Blamed_, &Adopted_}) {
    const auto Entry = Times->find(Request);
    if (Entry != Times->end())
      LastEnd = std::max(LastEnd, Entry->second);
  }
  if (LastEnd + RefusalDuration <= Now)
    return std::nullopt;
  return LastEnd + RefusalDuration - Now;
}

bool CrashLedger::mayRetry(RequestFingerprint Request) const {
  if (Blamed_.contains(Request) || Adopted_.contains(Request))
    return false;
  std::vector<Mark> Marks = marksOf(Request);
  return weigh(Marks).SuccessiveEnds_ <= MaxEndsBeforeRetry;
}

std::vector<CrashLedger::Mark>
CrashLedger::marksOf(RequestFingerprint Request) const {
  std::vector<Mark> Result;
  for (const auto &[Run, Ended] : Crashes_) {
    const auto Found = Ended.Suspects_.find(Request);
    if (Found != Ended.Suspects_.end())
      Result.push_back({Run, Ended.At_ - Found->second.RanFor_, Ended.At_});
  }
  return Result;
}

std::size_t CrashLedger::crashCount(RequestFingerprint Request) const {
  return static_cast<std::size_t>(std::count_if(
      Crashes_.begin(), Crashes_.end(), [Request](const auto &Entry) {
        return Entry.second.Suspects_.contains(Request);
      }));
}

std::map<RequestFingerprint, base::TimePoint>
CrashLedger::blamed(base::TimePoint Now) const {
  std::map<RequestFingerprint, base::TimePoint> Result = Adopted_;
  for (const auto &[Request, At] : Blamed_)
    addBounded(Result, Request, At);
  std::erase_if(Result, [Now](const auto &Entry) {
    return Now - Entry.second >= RefusalDuration;
  });
  return Result;
}

void CrashLedger::expire(base::TimePoint Now) {
  const std::size_t Before = Crashes_.size();
  std::erase_if(Crashes_, [Now](const auto &Entry) {
    return Now - Entry.second.At_ >= RefusalDuration;
  });
  for (auto *Times : {&Adopted_, &Cleared_})
    std::erase_if(*Times, [Now](const auto &Entry) {
      return Now - Entry.second >= RefusalDuration;
    });
  if (Crashes_.size() != Before)
    assignBlame();
}

bool CrashLedger::addSuspect(NameTag Run, RequestFingerprint Request,
                             Suspect Found, base::TimePoint At) {
  const auto Cleared = Cleared_.find(Request);
  if (Cleared != Cleared_.end() && At <= Cleared->second)
    return false;
  Crash &Ended = Crashes_[Run];
  const bool IsFirst = Ended.Suspects_.empty();
  const auto [Entry, IsNew] = Ended.Suspects_.try_emplace(Request, Found);
  Entry->second.IsOwn_ = Entry->second.IsOwn_ || Found.IsOwn_;
  if (!IsNew)
    return false;
  // Reports are late, so that the earliest time is the closest.
  Ended.At_ = IsFirst ? At : std::min(Ended.At_, At);
  if (Ended.Suspects_.size() > MaxSuspectsPerCrash)
    dropOldest(Ended.Suspects_,
               [](const auto &One) { return -One.second.RanFor_; });
  if (Crashes_.size() > MaxCrashes)
    dropOldest(Crashes_, [](const auto &One) { return One.second.At_; });
  return true;
}

bool CrashLedger::clear(RequestFingerprint Request, base::TimePoint At) {
  const auto Known = Cleared_.find(Request);
  if (Known != Cleared_.end() && Known->second >= At)
    return false;
  bool HasChanged = false;
  for (auto Entry = Crashes_.begin(); Entry != Crashes_.end();) {
    if (Entry->second.At_ <= At)
      HasChanged |= Entry->second.Suspects_.erase(Request) > 0;
    Entry = Entry->second.Suspects_.empty() ? Crashes_.erase(Entry)
                                            : std::next(Entry);
  }
  const auto Adopted = Adopted_.find(Request);
  if (Adopted != Adopted_.end() && Adopted->second <= At) {
    Adopted_.erase(Adopted);
    HasChanged = true;
  }
  // Others may know of more.
  if (HasChanged || Known != Cleared_.end())
    addBounded(Cleared_, Request, At);
  return HasChanged;
}

// Takes the request with the strongest evidence again and again until no other
// explains enough of the remaining ends.
void CrashLedger::assignBlame() {
  Blamed_.clear();
  std::map<RequestFingerprint, std::vector<Mark>> MarksOf;
  for (const auto &[Run, Ended] : Crashes_)
    for (const auto &[Request, Found] : Ended.Suspects_)
      MarksOf[Request].push_back({Run, Ended.At_ - Found.RanFor_, Ended.At_});
  for (;;) {
    std::erase_if(MarksOf, [](const auto &Entry) {
      return Entry.second.size() < MinSuccessiveEnds;
    });
    Evidence Strongest;
    RequestFingerprint Culprit = 0;
    for (auto &[Request, Marks] : MarksOf) {
      const Evidence Found = weigh(Marks);
      if (!Found.isStrongerThan(Strongest))
        continue;
      Strongest = Found;
      Culprit = Request;
    }
    if (Strongest.SuccessiveEnds_ < MinSuccessiveEnds)
      return;
    const std::vector<Mark> Explained = std::move(MarksOf[Culprit]);
    MarksOf.erase(Culprit);
    addBounded(Blamed_, Culprit, Explained.back().End_);
    std::set<NameTag> Runs;
    for (const Mark &One : Explained)
      Runs.insert(One.Run_);
    for (auto &[Request, Marks] : MarksOf)
      std::erase_if(
          Marks, [&Runs](const Mark &One) { return Runs.contains(One.Run_); });
  }
}

// Sorts the marks by the time of the end.
CrashLedger::Evidence CrashLedger::weigh(std::vector<Mark> &Marks) {
  std::sort(Marks.begin(), Marks.end(),
            [](const Mark &A, const Mark &B) { return A.End_ < B.End_; });
  Evidence Result;
  if (Marks.empty())
    return Result;
  base::Duration Total{};
  base::TimePoint LastEnd{};
  for (const Mark &One : Marks) {
    ++Result.Ends_;
    Total += One.End_ - One.Start_;
    // The largest number of spans that do not overlap.
    if (Result.SuccessiveEnds_ > 0 && One.Start_ < LastEnd)
      continue;
    ++Result.SuccessiveEnds_;
    LastEnd = One.End_;
  }
  Result.MeanRun_ = Total / static_cast<std::int64_t>(Marks.size());
  return Result;
}

} // namespace ebony::traffic
