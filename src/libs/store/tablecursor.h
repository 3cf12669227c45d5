#ifndef EBONY_STORE_TABLECURSOR_H
#define EBONY_STORE_TABLECURSOR_H

#include "base/time.h"
#include "store/row.h"

#include <optional>

namespace ebony::store {

/// How far one reader has followed a table, by its own questions to the store
/// and by what another reader passes on.
///
/// Load pattern: news that comes late, twice, out of order or never, from
/// readers that were suspended meanwhile.
class TableCursor {
public:
  bool hasSnapshot() const { return Version_ >= 0; }

  /// Version of the store up to which all changes are known; -1 for none.
  std::int64_t version() const { return Version_; }

  /// Time since which changes may be missing.
  base::Duration age(base::TimePoint Now) const { return Now - Proven_; }

  /// The whole table has to be read again.
  void reset() { Version_ = -1; }

  /// The whole table was read by a question sent at \p Asked.
  void applySnapshot(const Rows &Whole, base::TimePoint Asked);

  /// Takes the changes after \p After. \p Proof is a time at which the store
  /// held no others; none when that is not known. Returns the rows that are
  /// new here, or nothing when changes before them are missing.
  std::optional<std::vector<Row>>
  applyChanges(std::int64_t After, const Rows &Changes,
               std::optional<base::TimePoint> Proof);

private:
  std::int64_t Version_ = -1;
  // Far in the past, so that nothing is trusted before the first answer.
  base::TimePoint Proven_{std::chrono::hours(-1)};
};

} // namespace ebony::store

#endif
