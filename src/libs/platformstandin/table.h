#ifndef EBONY_PLATFORMSTANDIN_TABLE_H
#define EBONY_PLATFORMSTANDIN_TABLE_H

#include "platformstandin/tablerow.h"
#include "platformstandin/tabletransaction.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebony::platformstandin {

/// In-memory key-value table with conditional transactions and prefix scans.
/// Not thread-safe.
class Table {
public:
  /// Applies all of \p Transaction, or none of it when a condition fails.
  CommitResult transact(const TableTransaction &Transaction);

  std::optional<TableRow> row(const std::string &Key) const;

  /// Returns up to \p Limit rows whose key starts with \p Prefix and sorts
  /// after \p After, in order of their keys.
  std::vector<TableRow> rows(const std::string &Prefix,
                             const std::string &After, std::size_t Limit) const;

  std::size_t size() const { return Rows_.size(); }

  /// Version of the last commit.
  std::uint64_t version() const { return Version_; }

private:
  std::map<std::string, TableRow> Rows_;
  std::uint64_t Version_ = 0;
};

} // namespace ebony::platformstandin

#endif
