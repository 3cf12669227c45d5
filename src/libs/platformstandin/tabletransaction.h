#ifndef EBONY_PLATFORMSTANDIN_TABLETRANSACTION_H
#define EBONY_PLATFORMSTANDIN_TABLETRANSACTION_H

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::platformstandin {

/// Version that a row must have for a commit; 0 requires that the row is
/// absent.
struct RowCondition {
  std::string Key_;
  std::uint64_t Version_ = 0;

  friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

/// Row to write.
struct RowPut {
  std::string Key_;
  std::string Value_;

  friend bool operator==(const RowPut &, const RowPut &) = default;
};

/// Writes that are applied atomically when every condition holds.
struct TableTransaction {
  std::vector<RowCondition> Conditions_;
  std::vector<RowPut> Puts_;
  std::vector<std::string> Deletes_;

  friend bool operator==(const TableTransaction &,
                         const TableTransaction &) = default;
};

/// Version of the commit, or the failed conditions with the current versions of
/// their rows.
struct CommitResult {
  bool Committed_ = false;
  std::uint64_t Version_ = 0;
  std::vector<RowCondition> Failed_;

  friend bool operator==(const CommitResult &, const CommitResult &) = default;
};

} // namespace ebony::platformstandin

#endif
