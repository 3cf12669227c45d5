#include "store/followedtable.h"

#include <algorithm>
#include <iterator>

namespace ebony::store {

void FollowedTable::applySnapshot(const Rows &Snapshot,
                                  base::TimePoint RequestedAt) {
  Version_ = Snapshot.Version_;
  FreshAsOf_ = std::max(FreshAsOf_, RequestedAt);
}

std::optional<std::vector<Row>>
FollowedTable::applyChanges(std::int64_t After, const Rows &Changes,
                            std::optional<base::TimePoint> FreshAsOf) {
  if (!hasSnapshot() || After > Version_)
    return std::nullopt;
  // Older changes may already be superseded by known rows.
  std::vector<Row> NewRows;
  std::copy_if(
      Changes.Rows_.begin(), Changes.Rows_.end(), std::back_inserter(NewRows),
      [this](const Row &Change) { return Change.Version_ > Version_; });
  Version_ = std::max(Version_, Changes.Version_);
  if (FreshAsOf)
    FreshAsOf_ = std::max(FreshAsOf_, *FreshAsOf);
  return NewRows;
}

} // namespace ebony::store
