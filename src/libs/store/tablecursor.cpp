#include "store/tablecursor.h"

#include <algorithm>
#include <iterator>

namespace ebony::store {

void TableCursor::applySnapshot(const Rows &Whole, base::TimePoint Asked) {
  Version_ = Whole.Version_;
  Proven_ = std::max(Proven_, Asked);
}

std::optional<std::vector<Row>>
TableCursor::applyChanges(std::int64_t After, const Rows &Changes,
                          std::optional<base::TimePoint> Proof) {
  if (!hasSnapshot() || After > Version_)
    return std::nullopt;
  // Older changes may have been overtaken by what is known already.
  std::vector<Row> New;
  std::copy_if(Changes.Rows_.begin(), Changes.Rows_.end(),
               std::back_inserter(New),
               [this](const Row &One) { return One.Version_ > Version_; });
  Version_ = std::max(Version_, Changes.Version_);
  if (Proof)
    Proven_ = std::max(Proven_, *Proof);
  return New;
}

} // namespace ebony::store
