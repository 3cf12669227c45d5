#include "platformstandin/table.h"

namespace ebony::platformstandin {

CommitResult Table::transact(const TableTransaction &Transaction) {
  CommitResult Result;
  for (const RowCondition &Condition : Transaction.Conditions_) {
    const auto Found = row(Condition.Key_);
    const std::uint64_t CurrentVersion = Found ? Found->Version_ : 0;
    if (CurrentVersion != Condition.Version_)
      Result.Failed_.push_back({Condition.Key_, CurrentVersion});
  }
  if (!Result.Failed_.empty())
    return Result;
  Result.Committed_ = true;
  Result.Version_ = ++Version_;
  for (const RowPut &Put : Transaction.Puts_)
    Rows_[Put.Key_] = {Put.Key_, Version_, Put.Value_};
  for (const std::string &Key : Transaction.Deletes_)
    Rows_.erase(Key);
  return Result;
}

std::optional<TableRow> Table::row(const std::string &Key) const {
  const auto Found = Rows_.find(Key);
  if (Found == Rows_.end())
    return std::nullopt;
  return Found->second;
}

std::vector<TableRow> Table::rows(const std::string &Prefix,
                                  const std::string &After,
                                  std::size_t Limit) const {
  std::vector<TableRow> Result;
  auto Position = After < Prefix || After.empty() ? Rows_.lower_bound(Prefix)
                                                  : Rows_.upper_bound(After);
  while (Position != Rows_.end() && Position->first.starts_with(Prefix) &&
         Result.size() < Limit) {
    Result.push_back(Position->second);
    ++Position;
  }
  return Result;
}

} // namespace ebony::platformstandin
