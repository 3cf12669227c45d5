#include "load/ledgeraudit.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace ebony::load {

int countRanTwice(const Ledger &Observed) {
  std::map<std::pair<std::string, std::string>, std::int64_t> Counts;
  for (const LedgerRun &Run : Observed.Runs_) {
    const std::string Identity = Run.Operation_.empty()
                                     ? "request " + Run.RequestId_
                                     : "operation " + Run.Operation_;
    Counts[{Run.Customer_, Identity}] += Run.Count_;
  }
  return static_cast<int>(std::ranges::count_if(
      Counts, [](const auto &Entry) { return Entry.second > 1; }));
}

int countFalseNotRun(const std::vector<RequestRecord> &Records,
                     const Ledger &Observed) {
  std::set<std::string> RunRequestIds;
  std::set<std::string> RunOperations;
  for (const LedgerRun &Run : Observed.Runs_) {
    RunRequestIds.insert(Run.RequestId_);
    RunOperations.insert(Run.Operation_);
  }
  const auto IsNotRun = [](const AttemptRecord &Attempt) {
    return Attempt.Outcome_ == Outcome::NotRun;
  };
  int FalseCount = 0;
  for (const RequestRecord &Record : Records) {
    const bool RequestRan = std::ranges::any_of(
        Record.Attempts_, [&](const AttemptRecord &Attempt) {
          return IsNotRun(Attempt) &&
                 RunRequestIds.contains(Attempt.RequestId_);
        });
    const bool OperationRan = !Record.Operation_.empty() &&
                              !Record.Attempts_.empty() &&
                              std::ranges::all_of(Record.Attempts_, IsNotRun) &&
                              RunOperations.contains(Record.Operation_);
    FalseCount += RequestRan || OperationRan ? 1 : 0;
  }
  return FalseCount;
}

} // namespace ebony::load
