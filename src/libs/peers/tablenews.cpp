#include "peers/tablenews.h"

#include <algorithm>

namespace ebony::peers {

namespace {

// Bytes that a row takes in addition to its key and value.
constexpr std::size_t RowOverheadBytes = 16;

std::size_t sizeOf(const store::Row &Row) {
  return Row.Key_.size() + Row.Value_.size() + RowOverheadBytes;
}

} // namespace

std::vector<TableNews> splitTableNews(const TableNews &News,
                                      std::size_t TargetBytes,
                                      std::size_t MaxBytes) {
  std::vector<store::Row> Rows = News.Changes_.Rows_;
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const store::Row &A, const store::Row &B) {
                     return A.Version_ < B.Version_;
                   });
  std::vector<TableNews> Result;
  TableNews Part = News;
  Part.Changes_.Rows_.clear();
  Part.IsComplete_ = false;
  std::size_t Bytes = 0;
  const auto FinishPart = [&](std::int64_t Version) {
    Part.Changes_.Version_ = Version;
    if (Bytes <= MaxBytes)
      Result.push_back(Part);
    Part.After_ = Version;
    Part.Changes_.Rows_.clear();
    Bytes = 0;
  };
  for (store::Row &Row : Rows) {
    const std::size_t Size = sizeOf(Row);
    if (!Part.Changes_.Rows_.empty() && Bytes + Size > TargetBytes &&
        Part.Changes_.Rows_.back().Version_ != Row.Version_)
      FinishPart(Part.Changes_.Rows_.back().Version_);
    Bytes += Size;
    Part.Changes_.Rows_.push_back(std::move(Row));
  }
  Part.IsComplete_ = News.IsComplete_;
  FinishPart(News.Changes_.Version_);
  return Result;
}

} // namespace ebony::peers
