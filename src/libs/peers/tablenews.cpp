#include "peers/tablenews.h"

#include <algorithm>

namespace ebony::peers {

namespace {

// Bytes that a row takes beside its key and value.
constexpr std::size_t RowOverhead = 16;

std::size_t sizeOf(const store::Row &Row) {
  return Row.Key_.size() + Row.Value_.size() + RowOverhead;
}

} // namespace

std::vector<TableNews> splitTableNews(const TableNews &Whole,
                                      std::size_t MostBytes,
                                      std::size_t LargestBytes) {
  std::vector<store::Row> Rows = Whole.Changes_.Rows_;
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const store::Row &A, const store::Row &B) {
                     return A.Version_ < B.Version_;
                   });
  std::vector<TableNews> Result;
  TableNews Part = Whole;
  Part.Changes_.Rows_.clear();
  Part.IsComplete_ = false;
  std::size_t Bytes = 0;
  const auto Close = [&](std::int64_t Version) {
    Part.Changes_.Version_ = Version;
    if (Bytes <= LargestBytes)
      Result.push_back(Part);
    Part.After_ = Version;
    Part.Changes_.Rows_.clear();
    Bytes = 0;
  };
  for (store::Row &Row : Rows) {
    const std::size_t Size = sizeOf(Row);
    if (!Part.Changes_.Rows_.empty() && Bytes + Size > MostBytes &&
        Part.Changes_.Rows_.back().Version_ != Row.Version_)
      Close(Part.Changes_.Rows_.back().Version_);
    Bytes += Size;
    Part.Changes_.Rows_.push_back(std::move(Row));
  }
  Part.IsComplete_ = Whole.IsComplete_;
  Close(Whole.Changes_.Version_);
  return Result;
}

} // namespace ebony::peers
