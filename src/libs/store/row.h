#ifndef EBONY_STORE_ROW_H
#define EBONY_STORE_ROW_H

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::store {

/// One row of a table, or a tombstone for a removed row.
struct Row {
  std::string Key_;
  std::string Value_;
  /// Position of the transaction that wrote the row, see position.h.
  std::int64_t Version_ = 0;
  bool IsRemoved_ = false;

  friend bool operator==(const Row &, const Row &) = default;
};

/// Rows of one answer from the store, and the position that it reflects.
struct Rows {
  std::vector<Row> Rows_;
  std::int64_t Version_ = 0;
  bool HasMore_ = false;

  friend bool operator==(const Rows &, const Rows &) = default;
};

} // namespace ebony::store

#endif
