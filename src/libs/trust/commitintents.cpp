#include "trust/commitintents.h"

#include <algorithm>

namespace ebony::trust {

CommitIntents::CommitIntents(base::VmIdentity Self) : Self_(std::move(Self)) {}

void CommitIntents::recordIntent(config::Revision Base, base::TimePoint Now) {
  // Only the first intent for a base counts, because a promise is limited by
  // the oldest intent.
  if (Base >= Applied_)
    Open_.emplace(Base, Now);
}

void CommitIntents::recordApplied(config::Revision Number) {
  Applied_ = std::max(Applied_, Number);
  Open_.erase(Open_.begin(), Open_.lower_bound(Applied_));
}

WriterPromise CommitIntents::promise(base::TimePoint Now) const {
  const auto Oldest = oldestOpen();
  return {Self_, Applied_, Oldest ? std::min(*Oldest, Now) : Now};
}

std::optional<base::TimePoint> CommitIntents::oldestOpen() const {
  std::optional<base::TimePoint> Oldest;
  for (const auto &[Base, Since] : Open_)
    if (!Oldest || Since < *Oldest)
      Oldest = Since;
  return Oldest;
}

} // namespace ebony::trust
