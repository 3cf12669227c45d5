#ifndef EBONY_STORE_FOLLOWEDTABLE_H
#define EBONY_STORE_FOLLOWEDTABLE_H

#include "base/time.h"
#include "store/row.h"

#include <optional>

namespace ebony::store {

/// Position of one reader in the change history of a table. The reader learns
/// of changes by its own reads from the store and from news that other readers
/// forward.
///
/// News may arrive late, twice, out of order or never, and may come from
/// readers that were suspended meanwhile.
class FollowedTable {
public:
  bool hasSnapshot() const { return Version_ >= 0; }

  /// Returns the version of the store up to which all changes are known; -1
  /// before the first snapshot.
  std::int64_t version() const { return Version_; }

  /// Returns how long before \p Now the reader's knowledge was last complete.
  base::Duration age(base::TimePoint Now) const { return Now - FreshAsOf_; }

  /// Discards the position, so that the whole table has to be read again.
  void reset() { Version_ = -1; }

  /// Records that \p Snapshot, the whole table, was read by a request sent at
  /// \p RequestedAt.
  void applySnapshot(const Rows &Snapshot, base::TimePoint RequestedAt);

  /// Applies the changes that follow version \p After. \p FreshAsOf is a time
  /// at which the store held no further changes; std::nullopt if unknown.
  /// Returns the rows that are new to this reader; std::nullopt if earlier
  /// changes are missing, in which case nothing is applied.
  std::optional<std::vector<Row>>
  applyChanges(std::int64_t After, const Rows &Changes,
               std::optional<base::TimePoint> FreshAsOf);

private:
  std::int64_t Version_ = -1;
  // Far in the past, so that the knowledge counts as stale before the first
  // read.
  base::TimePoint FreshAsOf_{std::chrono::hours(-1)};
};

} // namespace ebony::store

#endif
