#ifndef EBONY_CONFIG_TABLEROW_H
#define EBONY_CONFIG_TABLEROW_H

#include <cstdint>
#include <string>

namespace ebony::config {

/// Number of the transaction that last wrote a row; 0 for an absent row.
using RowVersion = std::int64_t;

/// Row of the table service; \p Version_ is 0 if the row does not exist.
struct TableRow {
  std::string Key_;
  RowVersion Version_ = 0;
  std::string Value_;

  bool exists() const { return Version_ != 0; }

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

} // namespace ebony::config

#endif
