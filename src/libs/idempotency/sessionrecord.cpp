#include "idempotency/sessionrecord.h"

#include <algorithm>

namespace ebony::idempotency {

SubmissionEntry *SessionRecord::find(std::uint64_t Counter) {
  const auto Found = Entries_.find(Counter);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

SubmissionEntry &SessionRecord::insert(const EntrySnapshot &Snapshot) {
  return Entries_.try_emplace(Snapshot.Counter_, Snapshot).first->second;
}

bool SessionRecord::ensureCapacity(std::size_t MaxEntries) {
  if (Entries_.size() < MaxEntries)
    return true;
  const auto Found =
      std::find_if(Entries_.begin(), Entries_.end(), [](const auto &Stored) {
        return Stored.second.isFinished();
      });
  if (Found == Entries_.end())
    return false;
  Floor_ = std::max(Floor_, Found->first + 1);
  Entries_.erase(Found);
  return true;
}

// An evicted session whose first use is still accepted would look unseen, and
// its submissions would run again.
bool SessionRecord::isEvictable(base::TimePoint Now) const {
  return Now >= FirstUseEnds_ &&
         std::all_of(Entries_.begin(), Entries_.end(), [](const auto &Stored) {
           return Stored.second.isFinished();
         });
}

} // namespace ebony::idempotency
